//! The parser of scenario descriptions. The parent module documents their keywords.

use super::{LinkState, MAX_GATEWAYS, Scenario, ScenarioError, ScheduledStep, Step};
use crate::fault::DatagramFault;
use kdl::{KdlDocument, KdlError, KdlNode, KdlValue};
use reedwalk_testkit::resp::EngineBehavior;
use std::time::Duration;

const SETTINGS: &str = "gateways, engines, zones, slow-start, gossip, load, duration, at";
const STEPS: &str = "gossip-links, partition, heal, engine, engine-link, kill, restart, pause, resume";

/// Longest time that a description may contain, in seconds.
const MAX_SECONDS: f64 = 3600.0;
const SECONDS_PER_MILLISECOND: f64 = 1e-3;
const MS_PER_SECOND: f64 = 1e3;

type Result<T> = std::result::Result<T, ScenarioError>;

/// Parses the text of a description and finds the line of each node for errors.
pub(super) struct Parser<'a> {
    source: &'a str,
}

impl<'a> Parser<'a> {
    pub(super) fn new(source: &'a str) -> Self {
        Self { source }
    }

    pub(super) fn scenario(&self) -> Result<Scenario> {
        let document = KdlDocument::parse(self.source).map_err(|error| self.syntax_error(&error))?;
        let [node] = document.nodes() else {
            let message = "expected exactly one 'scenario' node and no other".to_owned();
            return Err(ScenarioError { line: 1, message });
        };
        let name = node.entries().iter().find(|entry| entry.name().is_none());
        let name = name.and_then(|entry| entry.value().as_string());
        let (Some(name), "scenario", Some(block)) = (name, node.name().value(), node.children()) else {
            return self.error(node, "expected 'scenario \"NAME\" seed=NUMBER' and a block in braces");
        };
        let seed = self.number_property(node, "seed", 1.0)? as u64;
        let mut scenario = Scenario { name: name.to_owned(), seed, ..Scenario::default() };
        for node in block.nodes() {
            self.setting(node, &mut scenario)?;
        }
        if !(1..=MAX_GATEWAYS).contains(&scenario.gateways) || scenario.engines < 1 {
            let message =
                format!("a scenario has 'gateways' (1 to {MAX_GATEWAYS}) and 'engines' (1 or more)");
            return self.error(node, message);
        }
        scenario.steps.sort_by_key(|step| step.at);
        Ok(scenario)
    }

    /// Reads one setting into the scenario.
    fn setting(&self, node: &KdlNode, scenario: &mut Scenario) -> Result<()> {
        match node.name().value() {
            "gateways" => scenario.gateways = self.count(node, &[])?,
            "engines" => {
                scenario.engines = self.count(node, &["cores"])?;
                scenario.cores = self.number_property(node, "cores", Scenario::default().cores)?;
            }
            "zones" => scenario.zones = self.count(node, &[])?,
            "slow-start" => scenario.slow_start = true,
            "gossip" => scenario.gossip = self.switch(node)?,
            "load" => self.load(node, scenario)?,
            "duration" => scenario.duration = self.duration(node, self.first_argument(node, &[])?)?,
            "at" => self.steps(node, scenario)?,
            other => {
                return self.error(node, format!("unknown setting '{other}'; expected {SETTINGS}"));
            }
        }
        Ok(())
    }

    fn load(&self, node: &KdlNode, scenario: &mut Scenario) -> Result<()> {
        self.arguments(node, &["rate", "work", "statements", "keyed-requests"])?;
        scenario.rate = self.number_property(node, "rate", scenario.rate)?;
        scenario.statement_share = self.number_property(node, "statements", 0.0)?;
        scenario.keyed_request_share = self.number_property(node, "keyed-requests", 0.0)?;
        if node.get("work").is_some() {
            scenario.work_ms = self.duration_property(node, "work")?.as_secs_f64() * MS_PER_SECOND;
        }
        Ok(())
    }

    /// Reads the steps of one time into the scenario.
    fn steps(&self, node: &KdlNode, scenario: &mut Scenario) -> Result<()> {
        let at = self.duration(node, self.first_argument(node, &[])?)?;
        let Some(block) = node.children() else {
            return self.error(node, "'at' takes a time and a block in braces");
        };
        for node in block.nodes() {
            let step = self.step(node, scenario)?;
            scenario.steps.push(ScheduledStep { at, step });
        }
        Ok(())
    }

    fn step(&self, node: &KdlNode, scenario: &Scenario) -> Result<Step> {
        let gateways = || self.gateways(node, scenario.gateways);
        match node.name().value() {
            "gossip-links" => Ok(Step::SetGossipLinks(self.datagram_fault(node)?)),
            "partition" => {
                let argument = self.first_argument(node, &[])?;
                Ok(Step::Partition { groups: self.number(node, argument, "a number of groups")? as usize })
            }
            "heal" => Ok(Step::Heal),
            "engine" => self.engine_step(node, scenario),
            "engine-link" => self.engine_link_step(node, scenario),
            "kill" => Ok(Step::Kill(gateways()?)),
            "restart" => Ok(Step::Restart(gateways()?)),
            "pause" => Ok(Step::Pause(gateways()?)),
            "resume" => Ok(Step::Resume(gateways()?)),
            other => self.error(node, format!("unknown step '{other}'; expected {STEPS}")),
        }
    }

    fn datagram_fault(&self, node: &KdlNode) -> Result<DatagramFault> {
        self.arguments(node, &["loss", "duplication", "corruption", "delay", "jitter"])?;
        Ok(DatagramFault {
            blocked: false,
            loss: self.number_property(node, "loss", 0.0)?,
            duplication: self.number_property(node, "duplication", 0.0)?,
            corruption: self.number_property(node, "corruption", 0.0)?,
            delay: self.duration_property(node, "delay")?,
            jitter: self.duration_property(node, "jitter")?,
        })
    }

    fn engine_step(&self, node: &KdlNode, scenario: &Scenario) -> Result<Step> {
        let behavior = match text_entry(node, 1) {
            Some("healthy") => EngineBehavior::Healthy,
            Some("failing") => EngineBehavior::Failing,
            Some("slow") => EngineBehavior::Slow,
            Some("silent") => EngineBehavior::Silent,
            Some("dead") => EngineBehavior::Dead,
            _ => {
                let message = "'engine' takes its number and \"healthy\", \"failing\", \"slow\", \"silent\" or \
                    \"dead\"";
                return self.error(node, message);
            }
        };
        Ok(Step::SetEngine { engine: self.engine(node, 0, scenario)?, behavior })
    }

    fn engine_link_step(&self, node: &KdlNode, scenario: &Scenario) -> Result<Step> {
        let argument = self.first_argument(node, &[])?;
        let zone = self.number(node, argument, "a zone, an engine and a state")? as usize;
        let state = match text_entry(node, 2) {
            Some("stalled") => LinkState::Stalled,
            Some("reset") => LinkState::Reset,
            Some("open") => LinkState::Open,
            _ => {
                let message = "'engine-link' takes a zone, an engine and \"stalled\", \"reset\" or \"open\"";
                return self.error(node, message);
            }
        };
        if zone >= scenario.zones {
            return self.error(node, format!("there is no zone {zone}; 'zones' is {}", scenario.zones));
        }
        Ok(Step::SetEngineLink { zone, engine: self.engine(node, 1, scenario)?, state })
    }

    /// The argument at `index` as the number of an engine.
    fn engine(&self, node: &KdlNode, index: usize, scenario: &Scenario) -> Result<usize> {
        let arguments = self.arguments(node, &[])?;
        let engine = self.number(node, arguments.get(index).copied(), "the number of an engine")? as usize;
        if engine >= scenario.engines {
            let last = scenario.engines - 1;
            return self.error(node, format!("there is no engine {engine}; expected 0 to {last}"));
        }
        Ok(engine)
    }

    /// The numbers of the gateways that a step names, of `count` gateways.
    fn gateways(&self, node: &KdlNode, count: usize) -> Result<Vec<usize>> {
        let mut numbers = Vec::new();
        for value in self.arguments(node, &["from", "to"])? {
            numbers.push(self.number(node, Some(value), "numbers of gateways")? as usize);
        }
        if let (Some(from), Some(to)) = (node.get("from"), node.get("to")) {
            let first = self.number(node, Some(from), "from=NUMBER")? as usize;
            let last = self.number(node, Some(to), "to=NUMBER")? as usize;
            numbers.extend(first..=last);
        }
        if numbers.is_empty() || numbers.iter().any(|number| *number >= count) {
            let name = node.name().value();
            return self.error(node, format!("'{name}' takes gateways from 0 to {}", count - 1));
        }
        Ok(numbers)
    }

    /// The unnamed arguments of a node; fails if the node has properties other than these.
    fn arguments<'n>(&self, node: &'n KdlNode, properties: &[&str]) -> Result<Vec<&'n KdlValue>> {
        let mut names = node.entries().iter().filter_map(|entry| entry.name());
        if let Some(unknown) = names.find(|name| !properties.contains(&name.value())) {
            let (name, unknown) = (node.name().value(), unknown.value());
            let expected = properties.join(", ");
            return self.error(node, format!("'{name}' has no property '{unknown}'; expected {expected}"));
        }
        let arguments = node.entries().iter().filter(|entry| entry.name().is_none());
        Ok(arguments.map(|entry| entry.value()).collect())
    }

    fn first_argument<'n>(&self, node: &'n KdlNode, properties: &[&str]) -> Result<Option<&'n KdlValue>> {
        Ok(self.arguments(node, properties)?.first().copied())
    }

    /// The first argument as a count.
    fn count(&self, node: &KdlNode, properties: &[&str]) -> Result<usize> {
        let argument = self.first_argument(node, properties)?;
        Ok(self.number(node, argument, "a number")? as usize)
    }

    /// The first argument as "on" or "off".
    fn switch(&self, node: &KdlNode) -> Result<bool> {
        match self.first_argument(node, &[])?.and_then(KdlValue::as_string) {
            Some("on") => Ok(true),
            Some("off") => Ok(false),
            _ => self.error(node, format!("'{}' takes \"on\" or \"off\"", node.name().value())),
        }
    }

    /// A value as a number that is not negative; `expected` describes the expected value in the error.
    fn number(&self, node: &KdlNode, value: Option<&KdlValue>, expected: &str) -> Result<f64> {
        let number = value.and_then(|value| value.as_float().or(value.as_integer().map(|n| n as f64)));
        match number.filter(|number| number.is_finite() && *number >= 0.0) {
            Some(number) => Ok(number),
            None => self.error(node, format!("'{}' takes {expected}", node.name().value())),
        }
    }

    fn number_property(&self, node: &KdlNode, name: &str, default: f64) -> Result<f64> {
        match node.get(name) {
            Some(value) => self.number(node, Some(value), &format!("{name}=NUMBER")),
            None => Ok(default),
        }
    }

    /// A value as a time, which is text with the unit `ms` or `s`.
    fn duration(&self, node: &KdlNode, value: Option<&KdlValue>) -> Result<Duration> {
        let seconds = value.and_then(KdlValue::as_string).and_then(parse_seconds);
        match seconds.filter(|seconds| (0.0..=MAX_SECONDS).contains(seconds)) {
            Some(seconds) => Ok(Duration::from_secs_f64(seconds)),
            None => {
                let name = node.name().value();
                self.error(node, format!("'{name}' takes a time such as \"250ms\" or \"3s\""))
            }
        }
    }

    /// A property as a time; zero if it is omitted.
    fn duration_property(&self, node: &KdlNode, name: &str) -> Result<Duration> {
        node.get(name).map_or(Ok(Duration::ZERO), |value| self.duration(node, Some(value)))
    }

    fn error<T>(&self, node: &KdlNode, message: impl Into<String>) -> Result<T> {
        let start = node.span().offset();
        let rest = self.source.get(start..).unwrap_or_default();
        let space = rest.len() - rest.trim_start().len();
        Err(ScenarioError { line: self.line_at(start + space), message: message.into() })
    }

    fn syntax_error(&self, error: &KdlError) -> ScenarioError {
        let first = error.diagnostics.first();
        let line = self.line_at(first.map_or(0, |diagnostic| diagnostic.span.offset()));
        let message = first.and_then(|diagnostic| diagnostic.message.clone().or(diagnostic.label.clone()));
        ScenarioError { line, message: message.unwrap_or_else(|| "not a KDL document".into()) }
    }

    /// The line, from 1, of the byte at this offset.
    fn line_at(&self, offset: usize) -> usize {
        let before = &self.source.as_bytes()[..offset.min(self.source.len())];
        1 + before.iter().filter(|byte| **byte == b'\n').count()
    }
}

/// The entry at `index` of a node, if it is text.
fn text_entry(node: &KdlNode, index: usize) -> Option<&str> {
    node.entries().get(index)?.value().as_string()
}

/// The seconds of a text such as "250ms" or "3s".
fn parse_seconds(text: &str) -> Option<f64> {
    let (number, seconds_per_unit) = match text.strip_suffix("ms") {
        Some(number) => (number, SECONDS_PER_MILLISECOND),
        None => (text.strip_suffix('s')?, 1.0),
    };
    Some(number.parse::<f64>().ok()? * seconds_per_unit)
}
