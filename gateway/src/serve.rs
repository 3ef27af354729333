//! Puts the parts together and runs them.

use crate::broker::{Broker, Desk, Input, QUEUE};
use crate::config::Config;
use crate::engine::resp::Links;
use crate::front::mysql::Front;
use crate::names::{self, list::Book};
use crate::shutdown::{self, Phase};
use reedwalk_core::Gateway;
use slog::{Logger, info, o};
use std::fmt;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::time::timeout_at;

/// Why the program could not serve.
#[derive(Debug)]
pub enum ServeError {
    /// The listening address could not be taken, or another call to the system failed.
    Io(&'static str, std::io::Error),
    /// The settings make no sense.
    Settings(reedwalk_core::SettingsError),
    /// The list of the start can't be read.
    Known(serde_json::Error),
}

impl fmt::Display for ServeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(what, error) => write!(f, "{what}: {error}"),
            Self::Settings(error) => write!(f, "{error}"),
            Self::Known(error) => write!(f, "known: {error}"),
        }
    }
}

impl std::error::Error for ServeError {}

/// Share of the descriptors that client sessions may hold; clients keep to a third, engines take a part.
const SESSIONS_SHARE: f64 = 0.6;
/// What is taken is answered by its deadline; past the longest one and this there is nothing to wait for.
const LAST: Duration = Duration::from_millis(600);

/// Serves until SIGTERM and what was taken before it is answered.
///
/// # Errors
/// Where it can't start.
pub async fn serve(config: Config, log: Logger) -> Result<(), ServeError> {
    let deployment = Arc::new(config.deployment);
    let sockets = Arc::new(deployment.sockets.clone());
    let gateway = Gateway::new(deployment.core.clone(), config.seed).map_err(ServeError::Settings)?;
    let (queue, inputs) = mpsc::channel(QUEUE);
    let mut book = Book::new(sockets.clone());
    if let Some(known) = &config.known {
        let changes = book.start(known).map_err(ServeError::Known)?;
        info!(log, "start"; "name" => &config.name, "engines" => changes.len(), "serial" => book.serial());
        let _ = queue.send(Input::Engines(changes)).await;
    }
    let links = Links::new(sockets.clone(), queue.clone());
    let broker_log = log.new(o!("part" => "broker"));
    let broker = Broker::new(gateway, links, &deployment.core.limits, sockets.open_cap, broker_log);
    tokio::spawn(broker.run(inputs));
    if let Some(server) = config.names {
        let log = log.new(o!("part" => "names"));
        tokio::spawn(names::watch(server, book, queue.clone(), config.seed, log));
    }
    let listener = TcpListener::bind(config.listen).await.map_err(|e| ServeError::Io("listen", e))?;
    let (phase, phases) = watch::channel(Phase::Open);
    let (alive, mut ended) = mpsc::channel(1);
    let most = (config.limits.sockets as f64 * SESSIONS_SHARE) as usize;
    let front = Front::new(Desk::new(queue), deployment.clone(), most, config.seed, log.clone());
    tokio::spawn(Arc::new(front).serve(listener, phases, alive));
    info!(log, "serving"; "listen" => %config.listen);
    let came = shutdown::announce(&phase).await.map_err(|e| ServeError::Io("signals", e))?;
    info!(log, "closing");
    let longest = deployment.core.classes.iter().map(|c| c.deadline).max().unwrap_or_default();
    // Each session holds a sender: when all are gone, all that was taken has been answered.
    let _ = timeout_at(came + longest + LAST, ended.recv()).await;
    info!(log, "ended");
    Ok(())
}
