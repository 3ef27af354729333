//! Front ends that know each other: the sockets around `reedwalk-peers`, which decides. Off without an operator's
//! word, and where the settings forbid it not even a socket is opened.

use crate::config::Config;
use crate::discovery::DiscoverySource;
use crate::message::{BrokerEvent, OutlierKind, OutlierReport};
use crate::metrics::Metrics;
use crate::operator::error::OperatorFileError;
use crate::registry::EndpointRegistry;
use reedwalk_peers::{
    Act, EngineKey, Key, Keys, Kind, LENGTH_MOST, Millis, PeerId, Peers, Seen, Setup, View,
};
use reedwalk_scheduler::{EngineId, EngineObservation, Time};
use slog::{Logger, debug, error, info, warn};
use std::collections::{BTreeMap, HashMap};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep_until};

/// Bytes that a front end sends a second where nothing is said.
pub const BYTES_MOST: u32 = 8 * 1024;
/// Findings that wait to be told at most; what is found beyond them is found again.
pub const MAX_PENDING_OUTLIERS: usize = 64;
/// How often the list is looked at for engines that are new or have restarted.
const LIST_EVERY: Duration = Duration::from_millis(200);
/// How often the socket is tried again where another process of this front end still has it.
const BIND_EVERY: Duration = Duration::from_millis(100);
/// Datagrams taken in a turn; others get theirs in between.
const TURN: usize = 64;

/// What an operator's file says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GossipOptions {
    /// The line of the block.
    pub line: usize,
    /// Where other front ends reach this one; else the configuration's `peer_listen`.
    pub listen: Option<SocketAddr>,
    /// Names and addresses by number; else the configuration's `peers`.
    pub members: Vec<(String, SocketAddr)>,
    /// Files that hold keys, and the lines that name them; the first signs.
    pub keys: Vec<(PathBuf, usize)>,
    /// Bytes that are sent a second at most.
    pub bytes_most: u32,
    /// Signs of life are told.
    pub beats: bool,
}

/// A tier of front ends, as one of them is to know it.
#[derive(Clone, Debug)]
pub struct GossipGroup {
    /// Where the others reach this one.
    pub listen: SocketAddr,
    /// All front ends by number, this one included.
    pub addresses: Vec<SocketAddr>,
    /// This one's number.
    pub me: PeerId,
    /// Files that hold keys.
    keys: Vec<(PathBuf, usize)>,
    /// What they hold.
    held: Keys,
    bytes_most: u32,
    beats: bool,
}

/// The tier that an operator's file and the configuration name together; none where the settings allow no messages.
///
/// # Errors
/// Names the line that does not fit.
pub fn group(terms: &GossipOptions, config: &Config) -> Result<Option<GossipGroup>, OperatorFileError> {
    if config.deployment.sockets.may_tell == Some(false) {
        return Ok(None);
    }
    let error = |what: String| OperatorFileError { line: terms.line, what };
    let ordinal = config.deployment.core.ordinal as usize;
    let (addresses, me) = if terms.members.is_empty() {
        (config.peers.clone(), ordinal)
    } else {
        let me = terms.members.iter().position(|m| m.0 == config.name);
        let missing = || error(format!("no 'member' is called \"{}\" as this front end is", config.name));
        (terms.members.iter().map(|m| m.1).collect(), me.ok_or_else(missing)?)
    };
    if addresses.is_empty() {
        return Err(error("'peers' names no 'member', and the configuration no 'peers'".into()));
    }
    let told = config.deployment.core.gateways as usize;
    if addresses.len() != told || me >= told {
        let count = addresses.len();
        return Err(error(format!("{count} front ends are named, the settings tell of {told}")));
    }
    let listen = terms.listen.or(config.peer_listen);
    let listen = listen.or_else(|| (!terms.members.is_empty()).then(|| addresses[me]));
    let listen =
        listen.ok_or_else(|| error("'peers' lacks 'listen', and the configuration 'peer_listen'".into()))?;
    let held = read_keys(&terms.keys)?;
    let (keys, bytes_most, beats) = (terms.keys.clone(), terms.bytes_most, terms.beats);
    Ok(Some(GossipGroup { listen, addresses, me: me as PeerId, keys, held, bytes_most, beats }))
}

fn read_keys(files: &[(PathBuf, usize)]) -> Result<Keys, OperatorFileError> {
    let key = |(path, line): &(PathBuf, usize)| {
        read_key(path).map_err(|what| OperatorFileError {
            line: *line,
            what: format!("key {}: {what}", path.display()),
        })
    };
    files.iter().map(key).collect::<Result<_, _>>().map(Keys)
}

/// A key is all of a file but the space at its end. Nobody else may read it.
fn read_key(path: &Path) -> Result<Key, String> {
    let mode = std::fs::metadata(path).map_err(|e| e.to_string())?.permissions().mode();
    if mode & 0o077 != 0 {
        return Err(format!("others may read or write it (mode {:03o}); expected 600 or 400", mode & 0o777));
    }
    let bytes = std::fs::read(path).map_err(|e| e.to_string())?;
    Key::new(bytes.trim_ascii_end()).map_err(|e| e.to_string())
}

impl GossipGroup {
    /// How it is signed, for those who ask.
    pub fn signed(&self) -> &'static str {
        match self.keys.len() {
            0 => "not signed",
            1 => "signed",
            _ => "signed, keys in change",
        }
    }

    /// Bytes sent a second at most.
    pub fn bytes_most(&self) -> u32 {
        self.bytes_most
    }
}

/// What the task needs of the rest of the program.
pub struct GossipContext {
    /// The list of engines.
    pub registry: EndpointRegistry,
    /// The broker.
    pub events: mpsc::Sender<BrokerEvent>,
    /// What this front end finds.
    pub outliers: mpsc::Receiver<OutlierReport>,
    /// How engines look to it.
    pub observations: watch::Receiver<Vec<EngineObservation>>,
    /// Changes when the configuration is read again; the keys are then, too.
    pub sources: watch::Receiver<DiscoverySource>,
    /// Set once this process ends: the next one takes the address.
    pub closing: watch::Receiver<bool>,
    /// What is reported.
    pub metrics: Arc<Metrics>,
    /// For random numbers.
    pub seed: u64,
}

/// Returns once this process ends.
async fn closes(closing: &mut watch::Receiver<bool>) {
    let _ = closing.wait_for(|closes| *closes).await;
}

/// One front end among the others.
pub struct GossipTask {
    tier: GossipGroup,
    context: GossipContext,
    peers: Peers,
    /// Milliseconds of the Unix clock at the start, and the instant of that: it goes forward only.
    epoch: (Millis, Instant),
    by_address: HashMap<SocketAddr, PeerId>,
    engines: HashMap<EngineKey, EngineId>,
    listed: BTreeMap<EngineKey, u32>,
    living: usize,
    /// A count that the broker had no room for.
    owed: Option<f64>,
    log: Logger,
}

impl GossipTask {
    /// A front end that knows nobody yet.
    pub fn new(tier: GossipGroup, context: GossipContext, log: Logger) -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as Millis;
        let (me, count, keys) = (tier.me, tier.addresses.len(), tier.held.clone());
        let (bytes_most, beats, seed) = (tier.bytes_most, tier.beats, context.seed);
        let setup = Setup { me, count, bytes_most, keys, beats, seed };
        let by_address = tier.addresses.iter().enumerate().map(|(n, a)| (*a, n as PeerId)).collect();
        let (engines, listed) = (HashMap::new(), BTreeMap::new());
        let (peers, epoch) = (Peers::new(setup, unix), (unix, Instant::now()));
        Self { tier, context, peers, epoch, by_address, engines, listed, living: count, owed: None, log }
    }

    fn now(&self) -> Millis {
        self.epoch.0 + self.epoch.1.elapsed().as_millis() as Millis
    }

    fn instant(&self, at: Millis) -> Instant {
        self.epoch.1 + Duration::from_millis(at.saturating_sub(self.epoch.0))
    }

    /// Runs until this process ends.
    pub async fn run(mut self) {
        let Some(socket) = self.open().await else { return };
        let listen = socket.local_addr().unwrap_or(self.tier.listen);
        info!(self.log, "knows others"; "listen" => %listen, "me" => self.tier.me,
            "count" => self.tier.addresses.len(), "keys" => self.tier.signed());
        let (mut acts, mut buffer) = (Vec::new(), [0; LENGTH_MOST + 1]);
        let mut look = Instant::now();
        loop {
            if Instant::now() >= look {
                look = Instant::now() + LIST_EVERY;
                self.list();
                self.see();
                self.report();
            }
            let due = self.peers.due().min(self.now() + LIST_EVERY.as_millis() as Millis);
            let due = self.instant(due).min(look);
            tokio::select! {
                readable = socket.readable() => if readable.is_ok() { self.read(&socket, &mut buffer) },
                found = self.context.outliers.recv() => match found {
                    Some(found) => self.find(found),
                    None => return,
                },
                changed = self.context.sources.changed() => match changed {
                    Ok(()) => self.rekey(),
                    Err(_) => return,
                },
                () = closes(&mut self.context.closing) => return,
                () = sleep_until(due) => {}
            }
            self.peers.act(self.now(), &mut acts);
            for act in acts.drain(..) {
                self.carry_out(act, &socket);
            }
        }
    }

    /// Opens the socket; another process of this front end may still have the address for a while.
    async fn open(&mut self) -> Option<UdpSocket> {
        let mut said = false;
        loop {
            match UdpSocket::bind(self.tier.listen).await {
                Ok(socket) => return Some(socket),
                Err(error) => {
                    if !std::mem::replace(&mut said, true) {
                        let waits = error.kind() == ErrorKind::AddrInUse;
                        let what = if waits { "another has the address, waits for it" } else { "no socket" };
                        warn!(self.log, "{}", what; "listen" => %self.tier.listen, "error" => %error);
                    }
                }
            }
            tokio::select! {
                () = closes(&mut self.context.closing) => return None,
                () = sleep_until(Instant::now() + BIND_EVERY) => {}
            }
        }
    }

    fn read(&mut self, socket: &UdpSocket, buffer: &mut [u8]) {
        let now = self.now();
        for _ in 0..TURN {
            // An error is the answer to a datagram of ours that found nobody; there is nothing to do about it.
            let Ok((size, from)) = socket.try_recv_from(buffer) else { return };
            let peer = self.by_address.get(&from).copied();
            if let Err(why) = self.peers.receive(peer, &buffer[..size], now) {
                debug!(self.log, "not taken"; "from" => %from, "why" => ?why);
            }
        }
    }

    fn find(&mut self, found: OutlierReport) {
        let now = self.now();
        let named = self.engines.iter().find(|e| *e.1 == found.engine).map(|e| *e.0);
        let kind = match found.kind {
            OutlierKind::Failing => Kind::Fails,
            OutlierKind::Unresponsive => Kind::Silent,
            OutlierKind::AttemptFailed => Kind::Erred,
        };
        let until = now + found.until.saturating_duration_since(Instant::now()).as_millis() as Millis;
        named.into_iter().for_each(|engine| self.peers.find(engine, kind, until, now));
    }

    /// Looks which engines there are.
    fn list(&mut self) {
        let (mut engines, mut listed) = (HashMap::new(), BTreeMap::new());
        self.context.registry.for_each_engine(|name, engine, started| {
            let key = EngineKey::from(name);
            engines.insert(key, engine);
            listed.insert(key, started.map_or(0, |t| (t.0 / 1_000_000) as u32));
        });
        self.engines = engines;
        if self.listed != listed {
            self.peers.engines(&listed, self.now());
            self.listed = listed;
        }
    }

    /// Takes how engines look to this front end, where that is new.
    fn see(&mut self) {
        if !self.context.observations.has_changed().unwrap_or(false) {
            return;
        }
        let named: HashMap<_, _> = self.engines.iter().map(|(key, id)| (*id, *key)).collect();
        let seen = |look: &EngineObservation| {
            let engine = *named.get(&look.engine)?;
            Some(Seen { engine, slowdown: look.slowdown, threads: look.threads })
        };
        let seen: Vec<_> = self.context.observations.borrow_and_update().iter().filter_map(seen).collect();
        self.peers.see(&seen, self.now());
    }

    /// Reads the keys again; where one is not as it has to be, the old ones stay.
    fn rekey(&mut self) {
        match read_keys(&self.tier.keys) {
            Ok(keys) => self.peers.rekey(keys),
            Err(error) => error!(self.log, "keys not taken, the old ones stay"; "error" => %error),
        }
    }

    fn carry_out(&mut self, act: Act, socket: &UdpSocket) {
        match act {
            Act::Send(to, bytes) => {
                // What can't go out now is lost, as any datagram may be.
                let address = self.tier.addresses.get(usize::from(to));
                address.into_iter().for_each(|a| _ = socket.try_send_to(&bytes, *a));
            }
            Act::Hear(belief) => {
                let until = self.instant(belief.until);
                if let Some(&engine) = self.engines.get(&belief.engine) {
                    info!(self.log, "others say"; "engine" => engine.0, "left alone ms" => belief.until - self.now());
                    let _ = self.context.events.try_send(BrokerEvent::EjectedByGossip { engine, until });
                }
            }
            Act::Look(view) => {
                let key = match view {
                    View::Restarted(key, _) | View::Slow(key, _) => key,
                };
                let Some(&engine) = self.engines.get(&key) else { return };
                let input = match view {
                    View::Restarted(_, second) => {
                        info!(self.log, "others know it anew"; "engine" => engine.0, "started" => second);
                        BrokerEvent::EngineRestarted { engine, started: Time(u64::from(second) * 1_000_000) }
                    }
                    View::Slow(_, slowdown) => BrokerEvent::SlowdownObserved { engine, slowdown },
                };
                // Where the broker has no room it is said again by those who go on seeing it.
                let _ = self.context.events.try_send(input);
            }
            Act::Living(count) => self.owed = Some(count),
        }
        if let Some(count) =
            self.owed.take_if(|c| self.context.events.try_send(BrokerEvent::LiveGateways(*c)).is_ok())
        {
            debug!(self.log, "reckons with"; "front ends" => count);
        }
    }

    fn report(&mut self) {
        let now = self.now();
        let (tally, living) = (self.peers.tally(), self.peers.living(now));
        let used: f64 = self.listed.keys().filter_map(|engine| self.peers.used(*engine, now)).sum();
        if living != self.living {
            info!(self.log, "front ends living"; "now" => living, "before" => self.living);
            self.living = living;
        }
        self.context.metrics.set_peers(vec![
            ("living", living as u64, 'g'),
            ("sent", tally.sent, 'c'),
            ("sent_bytes", tally.bytes, 'c'),
            ("held_back", tally.held_back, 'c'),
            ("taken", tally.taken, 'c'),
            ("stranger", tally.stranger, 'c'),
            ("flood", tally.flood, 'c'),
            ("forged", tally.forged, 'c'),
            ("garbled", tally.garbled, 'c'),
            ("stale", tally.stale, 'c'),
            ("found", tally.found, 'c'),
            ("kept_back", tally.kept_back, 'c'),
            ("believed", tally.believed, 'c'),
            ("engines_aside", self.peers.believed(now) as u64, 'g'),
            ("views", tally.views, 'c'),
            ("threads_told", used.round() as u64, 'g'),
        ]);
    }
}
