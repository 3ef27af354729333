//! The vocabulary between a controller and the decision module: settings, events, actions.
//!
//! Nothing here decides anything; all decisions are in [`crate::policy`].

use std::fmt;
use std::time::Duration;

/// A moment on the controller's clock, in microseconds from no particular start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(pub u64);

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    )*};
}

ids! {
    /// One client try, as the controller numbers it; never used twice.
    RequestId(u64);
    /// One engine; keeps its id over restarts.
    EngineId(u32);
    /// Position in [`Settings::classes`].
    ClassId(usize);
    /// Position in [`Settings::tenants`].
    TenantId(usize);
    /// A location.
    ZoneId(usize);
    /// Position in [`Settings::kinds`].
    KindId(usize);
    /// A small set of engines that share what keys they have seen.
    CellId(u64);
    /// An ordering key.
    KeyId(u64);
    /// A group of tables.
    GroupId(u64);
    /// Number of a request's attempt, from 0 in the order of the sends.
    AttemptNo(u32);
}

/// What a repeat of a request would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Any number of repeats is harmless.
    Safe,
    /// Engines of one scope drop repeats for a while after the first send that may have run.
    Keyed {
        /// Which engines share the memory of repeats.
        scope: KeyScope,
        /// How long they remember, from the send.
        memory: Duration,
    },
    /// Must not run twice.
    Once,
}

/// The engines that drop a keyed request's repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// Every engine.
    All,
    /// Those in the zone of the engine first tried.
    Zone,
    /// Those in its cell.
    Cell,
}

impl KeyScope {
    /// The group of engines that share the memory with this one; none where it isn't told.
    pub fn group(self, engine: &EngineEntry) -> Option<u64> {
        match self {
            Self::All => Some(0),
            Self::Zone => engine.zone.map(|z| z.0 as u64),
            Self::Cell => engine.cell.map(|c| c.0),
        }
    }
}

/// One class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSettings {
    /// Latency aim for full worth.
    pub aim: Duration,
    /// The aim grows by this times the request's work over its threads.
    pub aim_stretch: f64,
    /// Total time that a client waits.
    pub deadline: Duration,
    /// Worth of an answer within the aim.
    pub worth: f64,
    /// Share of the worth that a late answer earns.
    pub late_worth: f64,
    /// What a repeat would do.
    pub effect: Effect,
    /// Requests of one key run one at a time, in order.
    pub in_order: bool,
    /// The only zones allowed, if bound.
    pub zones: Option<Vec<ZoneId>>,
    /// The only kinds allowed, if bound.
    pub kinds: Option<Vec<KindId>>,
    /// Threads that a query runs on.
    pub threads: u32,
    /// Holds its table group on its engine while it runs.
    pub is_load: bool,
    /// Stands still while a load holds its group.
    pub waits_for_loads: bool,
}

impl ClassSettings {
    /// A safe, unbound, single-threaded class of worth 1.
    pub fn new(aim: Duration, deadline: Duration) -> Self {
        Self {
            aim,
            aim_stretch: 0.0,
            deadline,
            worth: 1.0,
            late_worth: 0.0,
            effect: Effect::Safe,
            in_order: false,
            zones: None,
            kinds: None,
            threads: 1,
            is_load: false,
            waits_for_loads: false,
        }
    }
}

/// One tenant's share.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantSettings {
    /// Requests a second within its share, over all gateways.
    pub quota_per_s: f64,
}

/// One kind of machine.
#[derive(Clone, Debug, PartialEq)]
pub struct KindSettings {
    /// Cores of an engine of this kind.
    pub cores: u32,
    /// Its memory in MB.
    pub memory_mb: f64,
}

/// How the list of engines comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Changes come unprompted.
    Pushed,
    /// Changes come after [`Action::Subscribe`] only.
    Asked,
}

/// What a gateway is allowed.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// [`Action::Cancel`] may be used.
    pub cancel: bool,
    /// [`Action::Probe`] may be used.
    pub probes: bool,
    /// Attempts for each request.
    pub max_attempts: u32,
    /// Longest wait that a refused client observes, where it can be told one.
    pub max_retry_after: Option<Duration>,
}

/// A ration of attempts beyond each request's first.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryBudget {
    /// Allowed in any window whatever the traffic.
    pub free: f64,
    /// Allowed for each request taken in the window.
    pub ratio: f64,
    /// The window.
    pub window: Duration,
}

/// Figures of the rules.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// How long after the client's deadline an answer still counts.
    pub answer_slack: Duration,
    /// Sends to a draining engine end this soon after the news.
    pub drain_grace: Duration,
    /// A cold engine starts at this share of its capacity or more.
    pub cold_from: f64,
    /// It is warm after this.
    pub cold_for: Duration,
    /// More than this multiple of its capacity tips it over.
    pub tip_multiple: f64,
    /// When it lasts this long.
    pub tip_window: Duration,
    /// Rest of an ordering key after an attempt that may still run.
    pub order_settle: Duration,
    /// Ration of further attempts, if any.
    pub retry_budget: Option<RetryBudget>,
}

/// How engines run queries.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineTraits {
    /// A memory grant is heeded.
    pub grants: bool,
    /// A priority is heeded.
    pub priorities: bool,
    /// Largest share of an engine's memory that one query gets.
    pub max_grant_share: f64,
    /// Time between progress notes, if there are any.
    pub notes_every: Option<Duration>,
    /// Time after which an idle connection closes, if told.
    pub idle_close: Option<Duration>,
}

/// All that a gateway is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Gateways that share the pool.
    pub gateways: u32,
    /// This one's number among them.
    pub ordinal: u32,
    /// The zone it stands in, if told.
    pub zone: Option<ZoneId>,
    /// Shortest time between two steps.
    pub tick: Duration,
    /// How the list comes.
    pub discovery: Discovery,
    /// Classes of request.
    pub classes: Vec<ClassSettings>,
    /// Tenants; may be empty.
    pub tenants: Vec<TenantSettings>,
    /// Kinds of machine; may be empty.
    pub kinds: Vec<KindSettings>,
    /// Allowances.
    pub limits: Limits,
    /// Rules.
    pub rules: Rules,
    /// Traits of the engines.
    pub engine: EngineTraits,
    /// Worth of traffic beyond a tenant's share, as a share of the usual.
    pub over_share_worth: f64,
}

impl Settings {
    /// Settings for one gateway with modest defaults for all but classes and kinds.
    pub fn new(classes: Vec<ClassSettings>, kinds: Vec<KindSettings>) -> Self {
        Self {
            gateways: 1,
            ordinal: 0,
            zone: None,
            tick: Duration::from_millis(5),
            discovery: Discovery::Pushed,
            classes,
            tenants: Vec::new(),
            kinds,
            limits: Limits { cancel: false, probes: false, max_attempts: 3, max_retry_after: None },
            rules: Rules {
                answer_slack: Duration::from_millis(20),
                drain_grace: Duration::from_secs(1),
                cold_from: 0.3,
                cold_for: Duration::from_secs(12),
                tip_multiple: 2.5,
                tip_window: Duration::from_secs(2),
                order_settle: Duration::ZERO,
                retry_budget: None,
            },
            engine: EngineTraits {
                grants: false,
                priorities: false,
                max_grant_share: 1.0,
                notes_every: None,
                idle_close: None,
            },
            over_share_worth: 1.0,
        }
    }
}

/// Why settings were turned down.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The field at fault.
    pub field: &'static str,
    /// What is wrong with it.
    pub reason: &'static str,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "settings: {}: {}", self.field, self.reason)
    }
}

impl std::error::Error for SettingsError {}

/// How an engine stands in the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EngineState {
    /// Takes work.
    #[default]
    InService,
    /// Finishes its work; takes nothing new.
    Draining,
    /// Removed.
    Gone,
}

/// One engine as the list tells it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineEntry {
    /// Which engine.
    pub engine: EngineId,
    /// Its zone, if told.
    pub zone: Option<ZoneId>,
    /// Its kind, if told.
    pub kind: Option<KindId>,
    /// Its cell, if told.
    pub cell: Option<CellId>,
    /// Its state.
    pub state: EngineState,
    /// Its latest start; none for long ago.
    pub started: Option<Time>,
}

impl EngineEntry {
    /// An engine in service for long, of the first kind, in no particular zone.
    pub fn new(engine: EngineId) -> Self {
        let state = EngineState::InService;
        Self { engine, zone: None, kind: Some(KindId(0)), cell: None, state, started: None }
    }
}

/// What a list of engines covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// All engines; those not named are gone.
    Whole,
    /// All engines as last known before a restart of this gateway; may be old.
    Cached,
    /// Changed entries only.
    Changes,
}

/// A request as it arrives.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Arrival {
    /// Which request.
    pub request: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: TenantId,
    /// Its ordering key.
    pub key: Option<KeyId>,
    /// The tables that it reads or writes.
    pub group: Option<GroupId>,
    /// Time until the client gives this try up.
    pub patience: Duration,
    /// Estimate of its work on one thread.
    pub work: Option<Duration>,
    /// Estimate of the memory that it needs, in MB.
    pub memory_mb: Option<f64>,
    /// The client has tried before.
    pub repeated: bool,
    /// An attempt of an earlier try that may have run, where that is known.
    pub earlier: Option<Earlier>,
}

/// An attempt that another gateway has sent, or this one before its restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Earlier {
    /// The group of engines that drop its repeats; 0 where all do.
    pub group: u64,
    /// How long ago it was sent, at most.
    pub ago: Duration,
}

impl Arrival {
    /// A first try of the first tenant, with no key and no estimates.
    pub fn new(request: RequestId, class: ClassId, patience: Duration) -> Self {
        Self {
            request,
            class,
            tenant: TenantId(0),
            key: None,
            group: None,
            patience,
            work: None,
            memory_mb: None,
            repeated: false,
            earlier: None,
        }
    }
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The engine answered with an error; it may have run.
    Error,
    /// Turned away unseen: full, draining, or out of time in line.
    Full,
    /// No answer in time; it may have run or run still.
    TimedOut,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Withdrawn; it may have run.
    Cancelled,
    /// Never sent.
    Moot,
}

impl Outcome {
    /// True if the attempt surely never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Full | Self::ConnectFailed | Self::Moot)
    }

    /// True if the attempt may still be running.
    pub fn may_still_run(self) -> bool {
        matches!(self, Self::TimedOut | Self::Reset | Self::Cancelled)
    }
}

/// What an answered query had cost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bill {
    /// Work as time on one thread.
    pub work: Duration,
    /// Memory that it needed, in MB.
    pub memory_mb: f64,
}

/// An engine's load as it reported it; delayed and noisy.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Queries waiting for memory.
    pub queue: Option<f64>,
    /// Share of the cores that is busy.
    pub cpu: Option<f64>,
    /// Share of the memory that is granted.
    pub memory: Option<f64>,
    /// Share of the disks that is busy.
    pub disk: Option<f64>,
    /// Queries in hand.
    pub in_flight: Option<f64>,
}

/// News of a running attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Note {
    /// Share done, rough.
    Progress(f64),
    /// It spills; so many MB are missing.
    Spills(f64),
    /// It waits for memory.
    WaitsForMemory,
    /// It waits for a load.
    WaitsForLoad,
}

/// The end of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct Ended {
    /// Which request.
    pub request: RequestId,
    /// Which attempt.
    pub attempt: AttemptNo,
    /// How.
    pub outcome: Outcome,
    /// No answer is owed any more.
    pub closed: bool,
    /// Its cost, if told.
    pub bill: Option<Bill>,
    /// The engine's load, if told.
    pub load: Option<LoadReport>,
}

/// What a gateway observes.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The list of engines, or changes to it.
    Engines {
        /// What the entries cover.
        scope: ListScope,
        /// The entries.
        entries: Vec<EngineEntry>,
    },
    /// A call to the list failed or the subscription broke.
    ListFailed,
    /// This process's part of the gateway's work, more than 0 and at most 1; another one has the rest.
    Part(f64),
    /// So many gateways are at work, by what is known of them; where fewer are than was told, the rest bear their load.
    Living(f64),
    /// Several other gateways have found, each by itself, that an engine is to be left alone.
    Hearsay {
        /// Which engine.
        engine: EngineId,
        /// For how long, if nothing more is heard.
        lasts: Duration,
    },
    /// Several other gateways know that an engine has started anew, of which the list has not told yet.
    Started {
        /// Which engine.
        engine: EngineId,
        /// When.
        at: Time,
    },
    /// How many times as long as at ease a query takes at an engine, by what several other gateways see.
    Looks {
        /// Which engine.
        engine: EngineId,
        /// Times as long.
        slowdown: f64,
    },
    /// A client's request.
    Arrival(Arrival),
    /// Others were told of the group that this request's attempt goes to: it is bound to that as if it had run.
    Bound(RequestId),
    /// A stream has begun; the attempt belongs to the client now.
    StreamBegan {
        /// Which request.
        request: RequestId,
        /// Which attempt.
        attempt: AttemptNo,
    },
    /// News of an attempt.
    Noted {
        /// Which request.
        request: RequestId,
        /// Which attempt.
        attempt: AttemptNo,
        /// The news.
        note: Note,
    },
    /// An attempt has ended.
    Ended(Ended),
    /// The client has left.
    Left(RequestId),
    /// The wake-up asked for.
    Woken,
    /// A probe has ended.
    Probed {
        /// Which engine.
        engine: EngineId,
        /// How.
        outcome: Outcome,
        /// Its load, if told.
        load: Option<LoadReport>,
    },
}

/// What a gateway decides.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// Which request.
        request: RequestId,
        /// Where.
        engine: EngineId,
        /// Time-out; none for the client's patience.
        timeout: Option<Duration>,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// Which request.
        request: RequestId,
        /// Which attempt.
        attempt: AttemptNo,
    },
    /// Final answer: a further try is harmless.
    Refuse {
        /// Which request.
        request: RequestId,
        /// Wait asked of the client.
        retry_after: Option<Duration>,
    },
    /// Final answer: failed, with no promise.
    Fail {
        /// Which request.
        request: RequestId,
    },
    /// Memory for the next attempts, priority also for those out.
    Terms {
        /// Which request.
        request: RequestId,
        /// Grant in MB; none leaves it to the engine.
        memory_mb: Option<f64>,
        /// Priority, 0 to 3.
        priority: u8,
    },
    /// Ask for [`Event::Woken`] after a while.
    Wake(Duration),
    /// Examine an engine.
    Probe(EngineId),
    /// Ask for changes of the list from now on.
    Subscribe,
    /// By this gateway's own traffic an engine is to be left alone for a while; other gateways may hear of it.
    Suspect {
        /// Which engine.
        engine: EngineId,
        /// It says nothing; else it fails.
        silent: bool,
        /// For how long.
        lasts: Duration,
    },
    /// A line for the operators' log.
    Log(String),
}

/// How an engine looks to one gateway; others may hear of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Look {
    /// Which engine.
    pub engine: EngineId,
    /// How many times as long as at ease a query takes there; none where nothing was seen lately.
    pub slowdown: Option<f64>,
    /// Threads of this gateway's own queries there.
    pub threads: f64,
    /// Until when it is left alone, by this gateway's own finding.
    pub away_until: Option<Time>,
}

/// How long a class's queries take, as one gateway has learned: means in microseconds, and samples that they rest on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassPace {
    /// Execution time of the served.
    pub exec: (f64, f64),
    /// Work over threads.
    pub width: (f64, f64),
}
