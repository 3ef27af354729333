//! Puts the parts together and runs them.

use crate::broker::{Broker, BrokerContext, BrokerOptions, QUEUE_CAPACITY, RecoverySetup, RequestQueue};
use crate::config::{Config, ConfigError, Limits};
use crate::console::Console;
use crate::contracts::{BadContract, Contracts};
use crate::cores::Cores;
use crate::drain_guard::DrainGuards;
use crate::engine::{flight, resp};
use crate::figures::Figures;
use crate::front;
use crate::front::flight::Service;
use crate::front::mysql::Front;
use crate::health::Health;
use crate::members::Members;
use crate::members::keep::Keep;
use crate::message::{EndpointMailbox, EngineTransport, GossipHandle};
use crate::names::{self, Source, list::Book};
use crate::operator::{EngineWire, Fault, Operator, Store};
use crate::peers;
use crate::shutdown::{Asked, End, OVERLAP, Phase, Signals};
use crate::state;
use crate::store::link::Link;
use crate::store::unix_ms;
use crate::succession::{MAKES_ROOM, Succession};
use reedwalk_membership::{Part, Stage};
use reedwalk_scheduler::{Idempotency, Scheduler};
use reedwalk_settings::Deployment;
use slog::{Logger, error, info, o, warn};
use std::fmt;
use std::future::Future;
use std::hash::{BuildHasher, Hasher, RandomState};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep_until, timeout_at};

/// Why the program could not serve.
#[derive(Debug)]
pub enum ServeError {
    /// The listening address could not be taken, or another call to the system failed.
    Io(&'static str, std::io::Error),
    /// The settings make no sense.
    Settings(reedwalk_scheduler::SettingsError),
    /// The list of the start can't be read.
    Known(serde_json::Error),
    /// A contract makes no sense.
    Contract(BadContract),
    /// The shared store is not named as one.
    Store(redis::RedisError),
    /// An operator's file asks for what the limits do not allow.
    Operator(Fault),
    /// The task that judges has ended before its time.
    Unjudged,
}

impl fmt::Display for ServeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(what, error) => write!(f, "{what}: {error}"),
            Self::Settings(error) => write!(f, "{error}"),
            Self::Known(error) => write!(f, "known: {error}"),
            Self::Contract(error) => write!(f, "{error}"),
            Self::Store(error) => write!(f, "store: {error}"),
            Self::Operator(fault) => write!(f, "operator's file: {fault}"),
            Self::Unjudged => write!(f, "the task that judges has ended"),
        }
    }
}

impl std::error::Error for ServeError {}

/// Share of the descriptors that connections to engines may hold; client sessions take 0.6.
const ENGINES_SHARE: f64 = 0.3;
/// A program that has started.
#[derive(Debug)]
pub struct Running {
    /// Where MySQL clients connect.
    pub mysql: SocketAddr,
    /// Where operators connect, if the console is on.
    pub console: Option<SocketAddr>,
    /// Where Flight SQL clients connect, if that front is on.
    pub flight: Option<SocketAddr>,
    /// Longest that anything taken may still wait for its answer.
    longest: Duration,
    phase: watch::Sender<Phase>,
    health: Health,
    stage: watch::Sender<Stage>,
    part: watch::Receiver<Part>,
    reloads: Reloads,
    /// Tells the others' side that this process ends.
    ends: watch::Sender<bool>,
    ended: mpsc::Receiver<()>,
    cores: Cores,
    /// Answers once the task that judges has ended.
    unjudged: watch::Receiver<bool>,
    /// Held so that the cores are watched.
    losses: mpsc::Receiver<usize>,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.cores.stop_all();
    }
}

/// Where a new configuration goes while the program runs.
#[derive(Clone, Debug)]
pub struct Reloads {
    source: watch::Sender<Source>,
    /// What only a restart can change.
    fixed: Arc<(SocketAddr, Option<SocketAddr>, Limits, Arc<Deployment>)>,
    log: Logger,
}

impl Reloads {
    /// Takes what may change out of a configuration that has been checked whole: where the names are asked for.
    /// The list and its serial go on, as do all requests and sessions. What a restart alone can change is said.
    pub fn take(&self, config: Config) {
        let (listen, console, limits, deployment) = &*self.fixed;
        let differs = [
            (config.listen != *listen, "listen"),
            (config.console != *console, "console"),
            (config.limits != *limits, "limits"),
            (config.deployment != **deployment, "settings"),
        ];
        for (_, what) in differs.iter().filter(|d| d.0) {
            warn!(self.log, "needs a restart to change"; "what" => what);
        }
        info!(self.log, "new configuration"; "names" => ?config.names);
        self.source.send_replace(Source { server: config.names, known: config.known });
    }

    /// Reads the configuration again; one that can't be read, or makes no sense, changes nothing.
    fn reload(&self, read: &impl Fn() -> Result<Config, ConfigError>) {
        match read().and_then(Config::sound) {
            Ok(config) => self.take(config),
            Err(error) => {
                error!(self.log, "new configuration not taken, the old one stays"; "error" => %error)
            }
        }
    }
}

/// Starts all parts.
///
/// # Errors
/// Where it can't start.
pub async fn start(config: Config, operator: Operator, log: &Logger) -> Result<Running, ServeError> {
    operator.check(&config.limits).map_err(ServeError::Operator)?;
    let tier = operator.peers.as_ref().map(|terms| peers::tier(terms, &config)).transpose();
    let tier = tier.map_err(ServeError::Operator)?.flatten();
    if operator.peers.is_some() && tier.is_none() {
        warn!(log, "the settings allow no messages between front ends: peers are off");
    }
    let asks = config.names.is_some();
    let (source, sources) = watch::channel(Source { server: config.names, known: None });
    let fixed = Arc::new((config.listen, config.console, config.limits, Arc::new(config.deployment.clone())));
    let owner = operator.state.as_ref().map(|_| state::owner(&config));
    let reloads = Reloads { source, fixed, log: log.new(o!("part" => "reload")) };
    let mut deployment = config.deployment;
    if operator.engines == EngineWire::FlightSql {
        // Flight SQL has no notes: their absence must not be taken for an engine's silence.
        deployment.core.engine.progress_interval = None;
    }
    let deployment = Arc::new(deployment);
    let sockets = Arc::new(deployment.sockets.clone());
    let mut gateway = Scheduler::new(deployment.core.clone(), config.seed).map_err(ServeError::Settings)?;
    let (queue, inputs) = mpsc::channel(QUEUE_CAPACITY);
    let cores = Cores::start(operator.cores).map_err(|e| ServeError::Io("cores", e))?;
    // Only a front end that operators can reach has a second process beside it, or words to keep.
    let kept = config.console.map(|_| (config.folder.clone(), stem(&config.name, config.listen)));
    let succession_log = log.new(o!("part" => "succession"));
    let succession = kept.as_ref().map(|(folder, stem)| Succession::enter(folder, stem, succession_log));
    let (alone, only) = watch::channel(Part::default());
    let part = succession.as_ref().map_or(only, Succession::part);
    let second = succession.as_ref().is_some_and(Succession::is_second);
    let (stage, stages) = watch::channel(Stage::Starting);
    if let Some(succession) = succession {
        tokio::spawn(succession.watch(stages));
    }
    let figures = Arc::new(Figures::new(&sockets.classes));
    let window = deployment.core.classes.iter().filter_map(|c| match c.idempotency {
        Idempotency::Keyed { window: memory, .. } => Some(memory),
        _ => None,
    });
    let link = link(&operator, window.max().unwrap_or_default(), log)?;
    let keys = link.clone().filter(|l| l.terms().share_keys);
    let (findings, found) = mpsc::channel(peers::FINDINGS);
    let (views, seen) = watch::channel(Vec::new());
    let others = tier.is_some().then_some(GossipHandle { outliers: findings, observations: views });
    let (phase, phases) = watch::channel(Phase::Open);
    let context = BrokerContext {
        endpoints: EndpointMailbox::default(),
        figures: figures.clone(),
        part: part.clone(),
        phase: phases.clone(),
        shared_store: keys,
        gossip: others,
    };
    let keep = kept.as_ref().map(|(folder, stem)| Keep::new(folder, stem));
    let members_log = log.new(o!("part" => "members"));
    let drain_guards = DrainGuards::new(deployment.core.rules.drain_grace);
    let book = Book::new(sockets.clone());
    let members =
        Members::new(book, drain_guards, context.endpoints.clone(), figures.clone(), keep, members_log);
    if let Some(known) = &config.known {
        let engines = members.start(known).map_err(ServeError::Known)?;
        info!(log, "start"; "name" => &config.name, "engines" => engines, "serial" => ?members.serial());
    }
    tokio::spawn(members.clone().watch());
    let (ends, closing) = watch::channel(false);
    if let Some(tier) = tier {
        let around = peers::Around {
            members: members.clone(),
            queue: queue.clone(),
            findings: found,
            views: seen,
            sources: sources.clone(),
            closing,
            figures: figures.clone(),
            seed: config.seed,
        };
        tokio::spawn(peers::Task::new(tier, around, log.new(o!("part" => "peers"))).run());
    }
    let health = Health::default();
    let keeping = match operator.state.as_ref().zip(owner) {
        Some((terms, owner)) => {
            let state_log = log.new(o!("part" => "state"));
            let fault = |what: String| ServeError::Operator(Fault { line: terms.line, what });
            let folder = state::folder::Folder::open(&terms.folder)
                .map_err(|e| fault(format!("'state': {}: {e}", terms.folder.display())))?;
            let memory = state::find(&folder, owner, &state_log).memory;
            let now = unix_ms();
            gateway.restore_class_stats(&state::paces(&memory, &sockets.classes, now));
            for input in state::engines(&memory, &members, now) {
                // It is told after the list, and before anything that comes from outside.
                let _ = queue.try_send(input);
            }
            let (notes, written) = mpsc::channel(state::LINE);
            let (members, figures, log) = (members.clone(), figures.clone(), state_log);
            let classes = sockets.classes.clone();
            let writer = state::Writer { folder, owner, classes, members, figures, log };
            writer.start(written).map_err(|e| ServeError::Io("state", e))?;
            Some(RecoverySetup {
                persisted_events: notes,
                keys: memory.keys,
                has_name_server: asks,
                health: health.clone(),
            })
        }
        None => None,
    };
    let console = match config.console {
        Some(address) => {
            let (listener, address) = listen(address, false)?;
            let log = log.new(o!("part" => "console"));
            let console = Console::new(health.clone(), figures.clone(), members.clone(), log);
            tokio::spawn(Arc::new(console).serve(listener));
            Some(address)
        }
        None => None,
    };
    let connections = (config.limits.sockets as f64 * ENGINES_SHARE) as usize;
    let links: Box<dyn EngineTransport> = match operator.engines {
        EngineWire::Resp => {
            let notes = deployment.core.engine.progress_interval;
            Box::new(resp::Transport::new(
                sockets.clone(),
                connections,
                notes,
                queue.clone(),
                figures.clone(),
                cores.clone(),
            ))
        }
        EngineWire::FlightSql => {
            let (queue, figures) = (queue.clone(), figures.clone());
            Box::new(flight::Transport::new(sockets.clone(), connections, queue, figures, cores.clone()))
        }
    };
    let broker_log = log.new(o!("part" => "broker"));
    let contracts = contracts(&operator, &deployment, link)?.map(Arc::new);
    contracts.iter().cloned().for_each(|c| _ = tokio::spawn(c.run()));
    let options = BrokerOptions { contracts: contracts.clone(), recovery: keeping };
    let broker = Broker::new(gateway, links, &deployment, options, context, queue.clone(), broker_log);
    let judge = cores.judge(broker.run(inputs));
    let (judging, unjudged) = watch::channel(false);
    let judge_log = log.clone();
    tokio::spawn(async move {
        if let Err(error) = judge.await {
            error!(judge_log, "the task that judges has ended"; "error" => %error);
        }
        judging.send_replace(true);
    });
    let (lost, losses) = mpsc::channel(1);
    tokio::spawn(cores.clone().watch(lost, log.new(o!("part" => "cores"))));
    tokio::spawn(names::watch(sources, members, config.seed, log.new(o!("part" => "names"))));
    let request_queue = RequestQueue::new(queue, figures);
    let (alive, ended) = mpsc::channel(1);
    if second {
        // The other halves its connections first.
        sleep_until(Instant::now() + MAKES_ROOM).await;
    }
    let shares = config.console.is_some();
    let (listener, mysql) = listen(config.listen, shares)?;
    let flight = match operator.flight {
        Some(front) => {
            let (listener, address) = listen(front.listen, shares)?;
            let service = Service::new(request_queue.clone(), deployment.clone(), config.seed);
            let log = log.new(o!("part" => "flight"));
            let (phases, alive) = (phases.clone(), alive.clone());
            tokio::spawn(front::flight::serve(listener, service, front, cores.clone(), phases, alive, log));
            Some(address)
        }
        None => None,
    };
    let front = Front::new(
        request_queue,
        deployment.clone(),
        contracts,
        &config.limits,
        config.seed,
        cores.clone(),
        log.clone(),
    );
    tokio::spawn(Arc::new(front).serve(listener, phases, part.clone(), alive));
    health.set_serving(true);
    stage.send_replace(Stage::Serving);
    drop(alone);
    let longest = deployment.core.classes.iter().map(|c| c.deadline).max().unwrap_or_default();
    Ok(Running {
        mysql,
        console,
        flight,
        longest,
        phase,
        health,
        stage,
        part,
        reloads,
        ends,
        ended,
        cores,
        unjudged,
        losses,
    })
}

/// The link to the shared store, if there is one.
fn link(operator: &Operator, window: Duration, log: &Logger) -> Result<Option<Arc<Link>>, ServeError> {
    let Store::Redis(url, terms) = &operator.store else { return Ok(None) };
    // Drawn by the system for each process.
    let front = RandomState::new().build_hasher().finish();
    let log = log.new(o!("part" => "store"));
    let link = Link::new(url, terms.clone(), front, window, log).map_err(ServeError::Store)?;
    let link = Arc::new(link);
    tokio::spawn(link.clone().run());
    Ok(Some(link))
}

/// The contracts of an operator's file; none, and nothing is checked.
///
/// # Errors
/// Where they make no sense.
pub fn contracts(
    operator: &Operator,
    deployment: &Deployment,
    link: Option<Arc<Link>>,
) -> Result<Option<Contracts>, ServeError> {
    let Some(contracts) = &operator.contracts else { return Ok(None) };
    let classes = &deployment.sockets.classes;
    Contracts::new(contracts, classes, deployment.core.gateways, link).map(Some).map_err(ServeError::Contract)
}

/// What the files of this front end are called, the same for each of its processes and no other's.
fn stem(name: &str, listen: SocketAddr) -> String {
    let name: String = name.chars().filter(char::is_ascii_alphanumeric).take(40).collect();
    format!("reedwalk-{name}-{}-{}", listen.ip(), listen.port()).replace(':', "_")
}

/// Connections that wait to be accepted at most.
const BACKLOG: u32 = 1024;

/// Listens; where another process of this front end may come, its address is shared with that one.
fn listen(address: SocketAddr, shared: bool) -> Result<(TcpListener, SocketAddr), ServeError> {
    let open = || {
        let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        socket.set_reuseaddr(true)?;
        if shared {
            socket.set_reuseport(true)?;
        }
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    let listener = open().map_err(|e| ServeError::Io("listen", e))?;
    let address = listener.local_addr().map_err(|e| ServeError::Io("listen", e))?;
    Ok((listener, address))
}

impl Running {
    /// The cores that it runs on.
    pub fn cores(&self) -> Cores {
        self.cores.clone()
    }

    /// Waits until the next core has ended, and says which.
    pub async fn core_lost(&mut self) -> Option<usize> {
        self.losses.recv().await
    }

    /// Returns once the task that judges has ended: nothing is decided any more.
    pub fn unjudged(&self) -> impl Future<Output = ()> + use<> {
        let mut unjudged = self.unjudged.clone();
        async move {
            let _ = unjudged.wait_for(|ended| *ended).await;
        }
    }

    /// Where a new configuration goes.
    pub fn reloads(&self) -> Reloads {
        self.reloads.clone()
    }

    /// Says that this process ends, and returns once another of this front end takes clients at the same address, or
    /// after the overlap: until then newcomers have nowhere else to go. It was told to end at `told`.
    pub async fn relieved(&self, told: Instant) {
        self.phase.send_replace(Phase::Ending(End::new(told, self.longest)));
        self.stage.send_replace(Stage::Closing);
        self.ends.send_replace(true);
        let mut part = self.part.clone();
        let relieved = async {
            if part.wait_for(|p| p.relieved).await.is_err() {
                // Nobody looks for another, so none comes.
                std::future::pending::<()>().await;
            }
        };
        let _ = timeout_at(told + OVERLAP, relieved).await;
    }

    /// Closes the fronts to what is new and waits until all that was taken is answered. It was told to end at `told`.
    pub async fn close(mut self, told: Instant) {
        let end = End::new(told, self.longest);
        self.phase.send_replace(Phase::Closing(end));
        self.health.set_serving(false);
        // Each session holds a sender: when all are gone, all that was taken has been answered.
        let _ = timeout_at(end.gone, self.ended.recv()).await;
    }
}

/// Serves until SIGTERM and what was taken before it is answered. At SIGHUP, also in the overlap and while the
/// last requests are finished, the configuration is read again with `read`.
///
/// # Errors
/// Where it can't start.
pub async fn serve(
    config: Config,
    operator: Operator,
    read: impl Fn() -> Result<Config, ConfigError>,
    log: Logger,
) -> Result<(), ServeError> {
    // Before anything else: until it is listened to, SIGHUP ends the program.
    let mut signals = Signals::new().map_err(|e| ServeError::Io("signals", e))?;
    let running = start(config, operator, &log).await?;
    info!(log, "serving"; "mysql" => %running.mysql, "console" => ?running.console, "flight" => ?running.flight);
    let reloads = running.reloads();
    let unjudged = running.unjudged();
    tokio::pin!(unjudged);
    loop {
        tokio::select! {
            asked = signals.next() => match asked {
                Asked::Reload => reloads.reload(&read),
                Asked::End => break,
            },
            () = &mut unjudged => return Err(ServeError::Unjudged),
        }
    }
    let came = Instant::now();
    info!(log, "closing");
    let ending = async {
        running.relieved(came).await;
        running.close(came).await;
    };
    tokio::pin!(ending);
    loop {
        tokio::select! {
            () = &mut ending => break,
            asked = signals.next() => if asked == Asked::Reload {
                reloads.reload(&read);
            },
        }
    }
    info!(log, "ended");
    Ok(())
}
