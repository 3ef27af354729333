//! Counts of a schedule, and the checks at its end.

use crate::requests::{DEADLINE_MS, Request};
use crate::test_bed::{SCHEDULE_END_MS, TestBed, WINDOW_MS};

/// Tolerance after the deadline within which a gateway must have answered.
const ANSWER_SLACK_MS: u64 = 20;

/// Counts of one schedule, or the sum over several.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub faults: usize,
    pub requests: usize,
    /// Keys whose clients have received the answer.
    pub served: usize,
    /// Requests answered with an answer from the store.
    pub served_from_store: usize,
    /// Effects of a key after the first within its window.
    pub duplicate_effects: usize,
    /// Requests without an answer although their gateway was running.
    pub missing_answers: usize,
    /// Requests with more than one answer.
    pub repeated_answers: usize,
}

impl Counts {
    /// Returns whether any check failed.
    pub fn has_violations(&self) -> bool {
        self.duplicate_effects + self.missing_answers + self.repeated_answers > 0
    }

    /// Adds the counts of another schedule.
    pub fn add(&mut self, other: Self) {
        self.faults += other.faults;
        self.requests += other.requests;
        self.served += other.served;
        self.served_from_store += other.served_from_store;
        self.duplicate_effects += other.duplicate_effects;
        self.missing_answers += other.missing_answers;
        self.repeated_answers += other.repeated_answers;
    }
}

impl TestBed {
    /// Checks the finished schedule and returns its counts.
    pub fn check(mut self) -> Counts {
        for effects in self.effects.values() {
            let first_ms = effects[0].0;
            let is_duplicate = |effect_ms: u64| effect_ms < first_ms + WINDOW_MS;
            let later = effects[1..].iter();
            self.counts.duplicate_effects += later.filter(|effect| is_duplicate(effect.0)).count();
        }
        for request in &self.requests {
            self.counts.repeated_answers += usize::from(request.answers.len() > 1);
            let is_missing = request.answers.is_empty() && !request.is_disconnected;
            self.counts.missing_answers += usize::from(is_missing && self.must_have_answered(request));
        }
        self.counts
    }

    /// Returns whether the deadline of a request has passed at a gateway that was neither killed nor suspended until
    /// the end of the schedule.
    fn must_have_answered(&self, request: &Request) -> bool {
        let is_deadline_over = request.arrived_ms + DEADLINE_MS + ANSWER_SLACK_MS < SCHEDULE_END_MS;
        let is_suspended = self.gateways[request.at.gateway].suspended_until_ms >= SCHEDULE_END_MS;
        is_deadline_over && self.is_running(request.at) && !is_suspended
    }
}
