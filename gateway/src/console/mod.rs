//! The admin interface: each connection carries one command and receives one answer. No command waits for the broker:
//! health is a flag, metrics are atomics, and the endpoint list is behind a mutex that is only held briefly.

pub mod line;

use crate::accept::pause_after_error;
use crate::health::Health;
use crate::metrics::Metrics;
use crate::registry::{EndpointRegistry, OverrideError};
use crate::session_registry::{KillResult, SessionRegistry};
use bytes::BytesMut;
use line::{Command, CommandParseError};
use reedwalk_operations::Override;
use slog::{Logger, info};
use std::collections::VecDeque;
use std::fmt::{self, Write};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep_until, timeout_at};

/// Maximum number of idle connections, and maximum number of connections whose command is being answered. The limit
/// keeps file descriptors available for clients and engines.
pub const MAX_CONNECTIONS: usize = 16;
/// Time after its acceptance at which a connection is closed, whatever its state.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(3);
/// How long unread input is discarded after the answer before the connection is closed.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum length of an answer that [`send_command`] reads.
const MAX_ANSWER_BYTES: u64 = 1 << 20;
/// The answer to a successful command without other output.
pub const SUCCESS_LINE: &str = "SUCCESS\n";
/// The last line of every answer to DUMP.
const DUMP_END: &str = "EOT";

/// The first word of the answer to a failed command.
pub const FAILURE: &str = "FAILURE";

/// Why a command failed; sent after [`FAILURE`].
#[derive(Debug)]
pub enum CommandError {
    /// This process is starting or shutting down.
    NotServing,
    /// [`MAX_CONNECTIONS`] commands are being answered already.
    TooManyCommands,
    /// The line is not a valid command.
    Parse(CommandParseError),
    /// The override was rejected.
    Override(OverrideError),
    /// The connection runs no query in this process.
    NoRunningQuery,
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotServing => write!(f, "this process does not accept clients"),
            Self::TooManyCommands => write!(f, "too many commands are being answered"),
            Self::Parse(error) => write!(f, "{error}"),
            Self::Override(error) => write!(f, "{error}"),
            Self::NoRunningQuery => write!(f, "the connection runs no query in this process"),
        }
    }
}

impl std::error::Error for CommandError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::NotServing | Self::TooManyCommands | Self::NoRunningQuery => None,
            Self::Parse(error) => Some(error),
            Self::Override(error) => Some(error),
        }
    }
}

/// Sends one command line to an admin interface and returns the answer.
///
/// # Errors
/// If the interface can't be reached, or does not answer by `deadline`.
pub async fn send_command(address: SocketAddr, line: &str, deadline: Instant) -> std::io::Result<String> {
    let exchange = async {
        let mut stream = TcpStream::connect(address).await?;
        stream.write_all(format!("{line}\n").as_bytes()).await?;
        let mut answer = String::new();
        stream.take(MAX_ANSWER_BYTES).read_to_string(&mut answer).await?;
        std::io::Result::Ok(answer)
    };
    let answer = timeout_at(deadline, exchange).await??;
    if answer.is_empty() { Err(std::io::ErrorKind::UnexpectedEof.into()) } else { Ok(answer) }
}

/// The admin interface.
#[derive(Debug)]
pub struct Console {
    health: Health,
    metrics: Arc<Metrics>,
    registry: EndpointRegistry,
    sessions: Arc<SessionRegistry>,
    connections: Mutex<Connections>,
    log: Logger,
}

/// The open connections. An idle connection, which has not sent a complete line or has received its answer, may be
/// evicted.
#[derive(Debug, Default)]
struct Connections {
    last_id: u64,
    /// Connections that may be evicted, the oldest first. Dropping the sender evicts the connection.
    idle: VecDeque<(u64, oneshot::Sender<()>)>,
    /// Connections whose command is being answered.
    answering: Vec<(u64, oneshot::Sender<()>)>,
}

impl Connections {
    /// Adds a new connection. Returns its id and a receiver that completes when the connection is evicted.
    fn insert(&mut self) -> (u64, oneshot::Receiver<()>) {
        let (eviction_guard, evicted) = oneshot::channel();
        self.last_id += 1;
        self.insert_idle((self.last_id, eviction_guard));
        (self.last_id, evicted)
    }

    /// Adds an idle connection, and evicts the oldest idle one if there are too many.
    fn insert_idle(&mut self, connection: (u64, oneshot::Sender<()>)) {
        if self.idle.len() >= MAX_CONNECTIONS {
            self.idle.pop_front();
        }
        self.idle.push_back(connection);
    }

    /// Protects a connection that has sent a complete line from eviction until it is answered. Returns false if too
    /// many connections are being answered, or this one has been evicted.
    fn start_answer(&mut self, id: u64) -> bool {
        if self.answering.len() >= MAX_CONNECTIONS {
            return false;
        }
        let index = self.idle.iter().position(|connection| connection.0 == id);
        self.answering.extend(index.and_then(|index| self.idle.remove(index)));
        index.is_some()
    }

    /// Makes an answered connection idle again.
    fn end_answer(&mut self, id: u64) {
        if let Some(index) = self.answering.iter().position(|connection| connection.0 == id) {
            let connection = self.answering.swap_remove(index);
            self.insert_idle(connection);
        }
    }

    fn remove(&mut self, id: u64) {
        self.idle.retain(|connection| connection.0 != id);
        self.answering.retain(|connection| connection.0 != id);
    }
}

impl Console {
    /// Creates an admin interface to these parts of the process.
    pub fn new(
        health: Health,
        metrics: Arc<Metrics>,
        registry: EndpointRegistry,
        sessions: Arc<SessionRegistry>,
        log: Logger,
    ) -> Self {
        Self { health, metrics, registry, sessions, connections: Mutex::default(), log }
    }

    fn connections(&self) -> std::sync::MutexGuard<'_, Connections> {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Accepts and serves connections; never returns.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let deadline = Instant::now() + CONNECTION_TIMEOUT;
                    let (id, evicted) = self.connections().insert();
                    let console = self.clone();
                    tokio::spawn(async move {
                        tokio::select! {
                            () = console.serve_connection(id, stream) => {}
                            _ = evicted => {}
                            () = sleep_until(deadline) => {}
                        }
                        console.connections().remove(id);
                    });
                }
                Err(error) => pause_after_error(&error, &self.log).await,
            }
            // Lets the tasks of evicted connections close them before the next connection is accepted.
            tokio::task::yield_now().await;
        }
    }

    async fn serve_connection(&self, id: u64, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut input = BytesMut::with_capacity(line::MAX_LINE_BYTES + 1);
        let command = loop {
            match line::complete_line(&input) {
                Ok(Some(line)) => break line::parse_command(line),
                Err(error) => break Err(error),
                Ok(None) => {}
            }
            match stream.read_buf(&mut input).await {
                Ok(0) if input.is_empty() => return,
                Ok(0) => break Err(CommandParseError::Incomplete),
                Ok(_) => {}
                Err(_) => return,
            }
        };
        let answer = match command {
            Ok(_) if !self.connections().start_answer(id) => Err(CommandError::TooManyCommands),
            Ok(command) => self.execute(command).await,
            Err(error) => {
                info!(self.log, "bad console command"; "reason" => %error, "line" => ?input);
                Err(CommandError::Parse(error))
            }
        };
        let answer = answer.unwrap_or_else(|error| format!("{FAILURE} {error}\n"));
        if stream.write_all(answer.as_bytes()).await.is_err() || stream.shutdown().await.is_err() {
            return;
        }
        self.connections().end_answer(id);
        // Closing a socket with unread input sends a reset, which can overtake the answer, so input is discarded for a
        // short time.
        let deadline = Instant::now() + CLOSE_TIMEOUT;
        let mut discarded = [0; 512];
        let drain_input = async { while matches!(stream.read(&mut discarded).await, Ok(n) if n > 0) {} };
        let _ = timeout_at(deadline, drain_input).await;
    }

    /// Executes a command. Returns the answer if it succeeds.
    async fn execute(&self, command: Command) -> Result<String, CommandError> {
        match command {
            Command::Health if self.health.is_serving() => Ok(SUCCESS_LINE.into()),
            Command::Health => Err(CommandError::NotServing),
            Command::Dump => {
                let mut text = self.metrics.text();
                let _ = writeln!(text, "{DUMP_END}");
                Ok(text)
            }
            Command::Offline(id) => self.set_override(&id, Override::Out).await,
            Command::Online(id) => self.set_override(&id, Override::Returned).await,
            Command::Kill(connection_id) => match self.sessions.kill(connection_id).await {
                KillResult::Killed => Ok(SUCCESS_LINE.into()),
                KillResult::Idle | KillResult::UnknownConnection => Err(CommandError::NoRunningQuery),
            },
        }
    }

    async fn set_override(&self, id: &str, value: Override) -> Result<String, CommandError> {
        let result = self.registry.set_override(id, value).await;
        info!(self.log, "engine override requested"; "engine" => id, "override" => ?value,
            "result" => ?result);
        result.map(|()| SUCCESS_LINE.into()).map_err(CommandError::Override)
    }
}
