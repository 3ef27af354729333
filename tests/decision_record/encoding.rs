//! The recorded words for events, actions and observations: they stay when a variant or a field is renamed.

use reedwalk_scheduler::*;
use std::time::Duration;

/// An action as one line; numbers with all their bits.
pub fn action(action: &Action) -> String {
    let kind = action_kind(action);
    match action {
        Action::Send { request, engine, timeout } => {
            format!("{kind} {} {} {}", request.0, engine.0, optional_micros(*timeout))
        }
        Action::Cancel { request, attempt } => format!("{kind} {} {}", request.0, attempt.0),
        Action::Reject { request, retry_after } => {
            format!("{kind} {} {}", request.0, optional_micros(*retry_after))
        }
        Action::Fail { request } => format!("{kind} {}", request.0),
        Action::GrantResources { request, memory_mb, priority } => {
            format!("{kind} {} {} {priority}", request.0, optional_bits(*memory_mb))
        }
        Action::WakeAfter(after) => format!("{kind} {}", after.as_micros()),
        Action::CheckHealth(engine) => format!("{kind} {}", engine.0),
        Action::Subscribe => kind.to_owned(),
        Action::EngineEjected { engine, unresponsive, duration } => {
            format!("{kind} {} {unresponsive} {}", engine.0, duration.as_micros())
        }
        Action::Log(text) => format!("{kind} {text}"),
    }
}

pub fn action_kind(action: &Action) -> &'static str {
    match action {
        Action::Send { .. } => "send",
        Action::Cancel { .. } => "cancel",
        Action::Reject { .. } => "reject",
        Action::Fail { .. } => "fail",
        Action::GrantResources { .. } => "grant",
        Action::WakeAfter(_) => "wake-after",
        Action::CheckHealth(_) => "check-health",
        Action::Subscribe => "subscribe",
        Action::EngineEjected { .. } => "engine-ejected",
        Action::Log(_) => "log",
    }
}

pub fn event_kind(event: &Event) -> &'static str {
    match event {
        Event::Endpoints { .. } => "endpoints",
        Event::EndpointListFailed => "endpoint-list-failed",
        Event::CapacityShare(_) => "capacity-share",
        Event::LiveGateways(_) => "live-gateways",
        Event::EjectedByGossip { .. } => "ejected-by-gossip",
        Event::EngineRestarted { .. } => "engine-restarted",
        Event::SlowdownObserved { .. } => "slowdown-observed",
        Event::Arrival(_) => "arrival",
        Event::BoundToGroup(_) => "bound-to-group",
        Event::StreamStarted { .. } => "stream-started",
        Event::Progress { .. } => "progress",
        Event::Ended(_) => "ended",
        Event::ClientDisconnected(_) => "client-disconnected",
        Event::WakeUp => "wake-up",
        Event::HealthChecked { .. } => "health-checked",
    }
}

/// What is counted of an event beside its kind: its outcome, its report, or the scope of its list.
pub fn event_detail(event: &Event) -> Option<&'static str> {
    match event {
        Event::Ended(ended) => Some(outcome(ended.outcome)),
        Event::Progress { report, .. } => Some(report_kind(*report)),
        Event::Endpoints { scope, .. } => Some(match scope {
            EndpointScope::Complete => "list complete",
            EndpointScope::Cached => "list cached",
            EndpointScope::Changes => "list changes",
        }),
        Event::Arrival(arrival) if arrival.prior_attempt.is_some() => Some("arrival with prior attempt"),
        Event::Arrival(arrival) if arrival.is_retry => Some("arrival as retry"),
        _ => None,
    }
}

fn outcome(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Ok => "outcome ok",
        Outcome::Error => "outcome error",
        Outcome::Rejected => "outcome rejected",
        Outcome::TimedOut => "outcome timed-out",
        Outcome::ConnectFailed => "outcome connect-failed",
        Outcome::Reset => "outcome reset",
        Outcome::Cancelled => "outcome cancelled",
        Outcome::NeverSent => "outcome never-sent",
    }
}

fn report_kind(report: ProgressReport) -> &'static str {
    match report {
        ProgressReport::FractionDone(_) => "report done",
        ProgressReport::Spilling(_) => "report spilling",
        ProgressReport::WaitingForMemory => "report waiting-for-memory",
        ProgressReport::WaitingForLoad => "report waiting-for-load",
    }
}

/// What the public readers of a scheduler say, as one line.
pub fn readers(scheduler: &Scheduler) -> String {
    let mean = |mean: SampledMean| format!("{:x}/{:x}", mean.mean.to_bits(), mean.samples.to_bits());
    let class = |class: ClassLatencyStats| {
        format!("class {} {}", mean(class.execution_time), mean(class.work_per_thread))
    };
    let engine = |seen: EngineObservation| {
        let (slowdown, until) = (optional_bits(seen.slowdown), seen.ejected_until.map(|until| until.0));
        format!("engine {} {slowdown} {:x} {until:?}", seen.engine.0, seen.threads.to_bits())
    };
    let classes: Vec<_> = scheduler.class_stats().into_iter().map(class).collect();
    let engines: Vec<_> = scheduler.observations().map(engine).collect();
    let warm_up = scheduler.mean_warm_up().to_bits();
    let (unavailable, tracked) = (scheduler.unavailable_engines(), scheduler.tracked_items());
    format!("{} {} {warm_up:x} {unavailable} {tracked}", classes.join(" "), engines.join(" "))
}

fn optional_micros(duration: Option<Duration>) -> String {
    duration.map_or("none".to_owned(), |duration| duration.as_micros().to_string())
}

fn optional_bits(number: Option<f64>) -> String {
    number.map_or("none".to_owned(), |number| format!("{:x}", number.to_bits()))
}
