//! The operators' door: each connection carries one line and gets one answer. Nothing here waits for the broker:
//! health is a flag, metrics are atomics, and the list of engines is behind a lock that nobody holds for long.

pub mod line;

use crate::health::Health;
use crate::metrics::Metrics;
use crate::registry::EndpointRegistry;
use bytes::BytesMut;
use line::{BadLine, Call};
use reedwalk_operations::Override;
use slog::{Logger, info, warn};
use std::collections::VecDeque;
use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep_until, timeout_at};

/// Callers without a whole line at a time, and as many whose call is being answered. They have places of their own:
/// neither clients nor engines give any up for them.
pub const CALLERS_MOST: usize = 16;
/// A caller's whole connection ends this long after it came, read or not.
const ENDED_BY: Duration = Duration::from_secs(3);
/// Bytes of an answer at most, for who reads one.
const ANSWER_MOST: u64 = 1 << 20;
/// The end of each answer to DUMP.
const END: &str = "EOT";

/// How a no begins.
pub const NO: &str = "FAILURE";

/// Takes one line to a console and brings its answer back; an error where there is none by `by`.
///
/// # Errors
/// Where it can't be reached, or does not answer in time.
pub async fn take(address: SocketAddr, line: &str, by: Instant) -> std::io::Result<String> {
    let called = async {
        let mut stream = TcpStream::connect(address).await?;
        stream.write_all(format!("{line}\n").as_bytes()).await?;
        let mut answer = String::new();
        stream.take(ANSWER_MOST).read_to_string(&mut answer).await?;
        std::io::Result::Ok(answer)
    };
    let answer = timeout_at(by, called).await??;
    if answer.is_empty() { Err(std::io::ErrorKind::UnexpectedEof.into()) } else { Ok(answer) }
}

/// What the console answers from.
#[derive(Debug)]
pub struct Console {
    health: Health,
    metrics: Arc<Metrics>,
    registry: EndpointRegistry,
    callers: Mutex<Callers>,
    log: Logger,
}

/// Who is here. Only who asks nothing of us, before a whole line or after the answer, can be pushed out.
#[derive(Debug, Default)]
struct Callers {
    next: u64,
    /// Those who can be, the longest there first. A sender that is dropped tells its caller to go.
    idle: VecDeque<(u64, oneshot::Sender<()>)>,
    /// Those whose call is being answered.
    answered: Vec<(u64, oneshot::Sender<()>)>,
}

impl Callers {
    /// A place for a newcomer.
    fn enter(&mut self) -> (u64, oneshot::Receiver<()>) {
        let (stay, pushed) = oneshot::channel();
        self.next += 1;
        self.wait((self.next, stay));
        (self.next, pushed)
    }

    /// The one who has had his place longest gives it up where there is none.
    fn wait(&mut self, caller: (u64, oneshot::Sender<()>)) {
        if self.idle.len() >= CALLERS_MOST {
            self.idle.pop_front();
        }
        self.idle.push_back(caller);
    }

    /// Its line is whole: it stays until it has its answer, if not too many have one to wait for.
    fn call(&mut self, id: u64) -> bool {
        let place = self.idle.iter().position(|c| c.0 == id).filter(|_| self.answered.len() < CALLERS_MOST);
        self.answered.extend(place.and_then(|p| self.idle.remove(p)));
        place.is_some()
    }

    /// It has its answer, and little is left to wait for.
    fn done(&mut self, id: u64) {
        if let Some(place) = self.answered.iter().position(|c| c.0 == id) {
            let caller = self.answered.swap_remove(place);
            self.wait(caller);
        }
    }

    fn leave(&mut self, id: u64) {
        self.idle.retain(|c| c.0 != id);
        self.answered.retain(|c| c.0 != id);
    }
}

impl Console {
    /// A console that answers from these.
    pub fn new(health: Health, metrics: Arc<Metrics>, registry: EndpointRegistry, log: Logger) -> Self {
        Self { health, metrics, registry, callers: Mutex::default(), log }
    }

    fn callers(&self) -> std::sync::MutexGuard<'_, Callers> {
        self.callers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Accepts callers for as long as the program runs.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let by = Instant::now() + ENDED_BY;
                    let (id, pushed) = self.callers().enter();
                    let console = self.clone();
                    tokio::spawn(async move {
                        tokio::select! {
                            () = console.caller(id, stream) => {}
                            _ = pushed => {}
                            () = sleep_until(by) => {}
                        }
                        console.callers().leave(id);
                    });
                }
                Err(error) => {
                    warn!(self.log, "accept failed"; "error" => %error);
                    sleep_until(Instant::now() + Duration::from_millis(20)).await;
                }
            }
            // Whoever was pushed out closes before the next one comes in.
            tokio::task::yield_now().await;
        }
    }

    async fn caller(&self, id: u64, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut input = BytesMut::with_capacity(line::LINE_MOST + 1);
        let call = loop {
            match line::whole(&input) {
                Ok(Some(line)) => break line::read(line),
                Err(bad) => break Err(bad),
                Ok(None) => {}
            }
            match stream.read_buf(&mut input).await {
                Ok(0) if input.is_empty() => return,
                Ok(0) => break Err(BadLine::Cut),
                Ok(_) => {}
                Err(_) => return,
            }
        };
        let answer = match call {
            Ok(_) if !self.callers().call(id) => failure(&"too many calls wait for their answer"),
            Ok(call) => self.answer(call).await,
            Err(bad) => {
                info!(self.log, "no call"; "why" => %bad, "line" => ?input);
                failure(&bad)
            }
        };
        if stream.write_all(answer.as_bytes()).await.is_err() || stream.shutdown().await.is_err() {
            return;
        }
        self.callers().done(id);
        // A close over unread bytes would be a reset, which can overtake the answer. Little is waited for it.
        let by = Instant::now() + Duration::from_millis(200);
        let mut rest = [0; 512];
        let drained = async { while matches!(stream.read(&mut rest).await, Ok(n) if n > 0) {} };
        let _ = timeout_at(by, drained).await;
    }

    async fn answer(&self, call: Call) -> String {
        match call {
            Call::Health if self.health.is_serving() => "SUCCESS\n".into(),
            Call::Health => failure(&"this process takes no clients"),
            Call::Dump => {
                let mut text = self.metrics.text();
                let _ = writeln!(text, "{END}");
                text
            }
            Call::Offline(id) => self.set_override(&id, Override::Out).await,
            Call::Online(id) => self.set_override(&id, Override::Returned).await,
        }
    }

    async fn set_override(&self, id: &str, value: Override) -> String {
        let said = self.registry.set_override(id, value).await;
        info!(self.log, "operator"; "engine" => id, "override" => ?value, "answer" => ?said);
        match said {
            Ok(()) => "SUCCESS\n".into(),
            Err(error) => failure(&error),
        }
    }
}

fn failure(why: &impl std::fmt::Display) -> String {
    format!("{NO} {why}\n")
}
