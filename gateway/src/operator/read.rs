//! Parser of the operator's file. Each error gives the line and the expected value.

use super::error::{OperatorFileError, OperatorFileErrorKind};
use super::{
    BudgetStore, DEFAULT_FLIGHT_CONNECTIONS, DEFAULT_FLIGHT_MESSAGE_BYTES, EngineProtocol, FlightFront,
    OperatorConfig, units,
};
use crate::gossip::{DEFAULT_MAX_BYTES_PER_SECOND, GossipMember, GossipOptions, KeyFile};
use crate::persistence::PersistenceOptions;
use crate::quotas::Contract;
use crate::shared_store::SharedStoreOptions;
use kdl::{KdlDocument, KdlEntry, KdlNode, KdlValue};
use reedwalk_multicore::MAX_CORES;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum number of signing keys: the old and the new one during a key rotation.
const MAX_KEYS: usize = 2;

/// Text of the file, used to determine the line of a node.
struct SourceText<'a>(&'a str);

impl SourceText<'_> {
    /// Line number of a byte offset, starting at 1.
    fn line_of_offset(&self, offset: usize) -> usize {
        let before = &self.0.as_bytes()[..offset.min(self.0.len())];
        1 + before.iter().filter(|b| **b == b'\n').count()
    }

    /// Line number on which a node starts, starting at 1.
    fn line(&self, node: &KdlNode) -> usize {
        // The span of a node includes the white space before it.
        let start = node.span().offset();
        let whitespace = self.0.get(start..).map_or(0, |rest| rest.len() - rest.trim_start().len());
        self.line_of_offset(start + whitespace)
    }

    fn error(&self, node: &KdlNode, kind: OperatorFileErrorKind) -> OperatorFileError {
        OperatorFileError { line: self.line(node), kind }
    }

    /// The error for a node with the wrong number or kind of arguments.
    fn argument_error(&self, node: &KdlNode, expected: impl Into<String>) -> OperatorFileError {
        let setting = node.name().value().to_owned();
        self.error(node, OperatorFileErrorKind::InvalidArguments { setting, expected: expected.into() })
    }

    /// The error for a node with an invalid value.
    fn value_error(
        &self,
        node: &KdlNode,
        found: impl Into<String>,
        expected: impl Into<String>,
    ) -> OperatorFileError {
        let (setting, found, expected) = (node.name().value().to_owned(), found.into(), expected.into());
        self.error(node, OperatorFileErrorKind::InvalidValue { setting, found, expected })
    }

    /// The only argument of a node that has neither properties nor children.
    fn single_argument<'n>(
        &self,
        node: &'n KdlNode,
        expected: &str,
    ) -> Result<&'n KdlValue, OperatorFileError> {
        match node.entries() {
            [entry] if entry.name().is_none() && node.children().is_none() => Ok(entry.value()),
            _ => Err(self.argument_error(node, format!("one argument, {expected}"))),
        }
    }

    fn string_argument<'n>(&self, node: &'n KdlNode, expected: &str) -> Result<&'n str, OperatorFileError> {
        let value = self.single_argument(node, expected)?;
        value.as_string().ok_or_else(|| self.value_error(node, value.to_string(), expected))
    }

    fn integer_argument(&self, node: &KdlNode, min: usize, max: usize) -> Result<usize, OperatorFileError> {
        let expected = format!("a whole number from {min} to {max}");
        let value = self.single_argument(node, &expected)?;
        let number = value.as_integer().and_then(|n| usize::try_from(n).ok());
        let number = number.filter(|n| (min..=max).contains(n));
        number.ok_or_else(|| self.value_error(node, value.to_string(), expected))
    }

    fn address_argument(&self, node: &KdlNode) -> Result<SocketAddr, OperatorFileError> {
        let expected = "an address such as \"127.0.0.1:8815\"";
        let text = self.string_argument(node, expected)?;
        self.parse_address(node, text, expected)
    }

    fn parse_address(
        &self,
        node: &KdlNode,
        text: &str,
        expected: &str,
    ) -> Result<SocketAddr, OperatorFileError> {
        text.parse().map_err(|_| self.value_error(node, quoted(text), expected))
    }

    /// The nodes of a block, after a check that all of them are known and only the repeatable ones occur more than once.
    fn checked_nodes<'n>(
        &self,
        document: &'n KdlDocument,
        known: &[&str],
        repeatable: &[&str],
    ) -> Result<Vec<&'n KdlNode>, OperatorFileError> {
        let mut seen = Vec::new();
        for node in document.nodes() {
            let name = node.name().value();
            if !known.contains(&name) {
                let (name, known) = (name.to_owned(), known.join(", "));
                return Err(self.error(node, OperatorFileErrorKind::UnknownSetting { name, known }));
            }
            if seen.contains(&name) && !repeatable.contains(&name) {
                return Err(self.error(node, OperatorFileErrorKind::DuplicateSetting(name.to_owned())));
            }
            seen.push(name);
        }
        Ok(document.nodes().iter().collect())
    }

    fn block<'n>(&self, node: &'n KdlNode) -> Result<&'n KdlDocument, OperatorFileError> {
        node.children().ok_or_else(|| self.argument_error(node, "a block in braces"))
    }

    fn require<T>(
        &self,
        node: &KdlNode,
        value: Option<T>,
        name: &'static str,
    ) -> Result<T, OperatorFileError> {
        let block = || node.name().value().to_owned();
        value.ok_or_else(|| self.error(node, OperatorFileErrorKind::MissingSetting { block: block(), name }))
    }

    fn flight(&self, node: &KdlNode) -> Result<FlightFront, OperatorFileError> {
        if !node.entries().is_empty() {
            return Err(self.argument_error(node, "only a block in braces"));
        }
        let (mut listen, mut connections, mut message) =
            (None, DEFAULT_FLIGHT_CONNECTIONS, DEFAULT_FLIGHT_MESSAGE_BYTES);
        for node in self.checked_nodes(self.block(node)?, &["listen", "connections", "message-most"], &[])? {
            match node.name().value() {
                "listen" => listen = Some(self.address_argument(node)?),
                "connections" => connections = self.integer_argument(node, 1, 65_536)?,
                _ => {
                    let text = self.string_argument(node, "a size such as \"256KiB\"")?;
                    let bytes = units::parse_size(text).ok().filter(|b| (1 << 10..=16 << 20).contains(b));
                    let error = || self.value_error(node, quoted(text), "a size from \"1KiB\" to \"16MiB\"");
                    message = bytes.ok_or_else(error)? as usize;
                }
            }
        }
        let listen = self.require(node, listen, "listen")?;
        Ok(FlightFront { listen, max_connections: connections, max_message_bytes: message })
    }

    fn contract(&self, node: &KdlNode) -> Result<Contract, OperatorFileError> {
        let team = match node.entries() {
            [entry] if entry.name().is_none() => entry.value().as_string(),
            _ => None,
        };
        let team = team.ok_or_else(|| self.argument_error(node, "a team's name and a block in braces"))?;
        let (mut classes, mut budget, mut cost) = (None, None, HashMap::new());
        for node in self.checked_nodes(self.block(node)?, &["classes", "budget", "cost"], &["cost"])? {
            let entries = node.entries();
            let string_value =
                |e: &KdlEntry| e.value().as_string().filter(|_| e.name().is_none()).map(str::to_owned);
            let integer_value = |e: &KdlEntry| e.value().as_integer().and_then(|n| u64::try_from(n).ok());
            match node.name().value() {
                "classes" => {
                    let names: Option<Vec<_>> = entries.iter().map(string_value).collect();
                    let names = names.filter(|n| !n.is_empty());
                    classes = Some(names.ok_or_else(|| self.argument_error(node, "class names"))?);
                }
                "budget" => {
                    let error = || self.argument_error(node, "a whole number and window=\"60s\"");
                    let [amount, window] = entries else { return Err(error()) };
                    let window =
                        window.name().filter(|n| n.value() == "window").and(window.value().as_string());
                    let window = window.and_then(|w| units::parse_duration(w).ok()).ok_or_else(error)?;
                    let amount =
                        integer_value(amount).filter(|_| amount.name().is_none()).ok_or_else(error)?;
                    budget = Some((amount, window.as_millis() as u64));
                }
                _ => {
                    let error = || self.argument_error(node, "a class and a whole number");
                    let [class, amount] = entries else { return Err(error()) };
                    let (class, amount) =
                        (string_value(class).ok_or_else(error)?, integer_value(amount).ok_or_else(error)?);
                    if cost.insert(class.clone(), amount).is_some() {
                        return Err(self.error(node, OperatorFileErrorKind::DuplicateCost(class)));
                    }
                }
            }
        }
        let (budget, window_ms) = self.require(node, budget, "budget")?;
        let classes = self.require(node, classes, "classes")?;
        Ok(Contract { team: team.to_owned(), classes, budget, window_ms, cost })
    }

    /// The `store` setting: where budgets are tracked and, if its block enables it, whether idempotency keys are shared.
    fn store(&self, node: &KdlNode) -> Result<BudgetStore, OperatorFileError> {
        let error = || self.argument_error(node, "\"memory\", or redis=\"redis://HOST:PORT\" and a block");
        match node.entries() {
            [entry] => match (entry.name().map(|n| n.value()), entry.value(), node.children()) {
                (None, KdlValue::String(kind), None) if kind == "memory" => Ok(BudgetStore::Memory),
                (Some("redis"), KdlValue::String(url), block) => {
                    let options = block.map(|block| self.store_options(block)).transpose()?;
                    Ok(BudgetStore::Redis(url.clone(), options.unwrap_or_default()))
                }
                _ => Err(error()),
            },
            _ => Err(error()),
        }
    }

    /// The `peers` block: the gossip settings.
    fn peers(&self, node: &KdlNode) -> Result<GossipOptions, OperatorFileError> {
        if !node.entries().is_empty() {
            return Err(self.argument_error(node, "only a block in braces"));
        }
        let mut options = GossipOptions {
            line: self.line(node),
            listen: None,
            members: Vec::new(),
            key_files: Vec::new(),
            max_bytes_per_second: DEFAULT_MAX_BYTES_PER_SECOND,
            heartbeats: true,
        };
        let known = ["listen", "member", "key", "bytes-most", "beats"];
        for node in self.checked_nodes(self.block(node)?, &known, &["member", "key"])? {
            match node.name().value() {
                "listen" => options.listen = Some(self.address_argument(node)?),
                "member" => {
                    let member = self.gossip_member(node, &options.members)?;
                    options.members.push(member);
                }
                "beats" => options.heartbeats = self.on_off_argument(node)?,
                "key" => {
                    let path = self.string_argument(node, "a file path")?.into();
                    options.key_files.push(KeyFile { path, line: self.line(node) });
                }
                _ => options.max_bytes_per_second = self.bytes_per_second(node)?,
            }
        }
        if options.key_files.len() > MAX_KEYS {
            return Err(self.error(node, OperatorFileErrorKind::TooManyKeys));
        }
        Ok(options)
    }

    /// A `member` of the `peers` block; its name and address must be unique.
    fn gossip_member(
        &self,
        node: &KdlNode,
        others: &[GossipMember],
    ) -> Result<GossipMember, OperatorFileError> {
        let expected = "a gateway's name and its address, as in \"n0\" \"10.0.0.4:7946\"";
        let string_value = |entry: &KdlEntry| {
            entry.value().as_string().filter(|_| entry.name().is_none()).map(str::to_owned)
        };
        let arguments: Option<Vec<_>> = node.entries().iter().map(string_value).collect();
        let Some([name, address]) = arguments.as_deref() else {
            return Err(self.argument_error(node, expected));
        };
        let address = self.parse_address(node, address, expected)?;
        if others.iter().any(|other| other.name == *name) {
            return Err(self.error(node, OperatorFileErrorKind::DuplicateMemberName(name.clone())));
        }
        if others.iter().any(|other| other.address == address) {
            return Err(self.error(node, OperatorFileErrorKind::DuplicateMemberAddress(address)));
        }
        Ok(GossipMember { name: name.clone(), address })
    }

    /// The value of a setting that is "on" or "off".
    fn on_off_argument(&self, node: &KdlNode) -> Result<bool, OperatorFileError> {
        let expected = "\"on\" or \"off\"";
        match self.string_argument(node, expected)? {
            "on" => Ok(true),
            "off" => Ok(false),
            other => Err(self.value_error(node, quoted(other), expected)),
        }
    }

    fn bytes_per_second(&self, node: &KdlNode) -> Result<u32, OperatorFileError> {
        let text = self.string_argument(node, "a size such as \"8KiB\"")?;
        let bytes = units::parse_size(text).ok().filter(|bytes| (512..=1 << 20).contains(bytes));
        let expected = "a size per second from \"512B\" to \"1MiB\"";
        let error = || self.value_error(node, quoted(text), expected);
        Ok(bytes.ok_or_else(error)? as u32)
    }

    fn store_options(&self, block: &KdlDocument) -> Result<SharedStoreOptions, OperatorFileError> {
        let mut options = SharedStoreOptions::default();
        for node in self.checked_nodes(block, &["share-keys", "namespace", "clocks-differ", "wait"], &[])? {
            let duration_in_range = |min: u64, max: u64| {
                let text = self.string_argument(node, "a duration such as \"25ms\"")?;
                let duration = units::parse_duration(text).ok();
                let (min, max) = (Duration::from_millis(min), Duration::from_millis(max));
                let duration = duration.filter(|d| (min..=max).contains(d));
                duration.ok_or_else(|| {
                    let expected = format!("a duration from {min:?} to {max:?}");
                    self.value_error(node, quoted(text), expected)
                })
            };
            match node.name().value() {
                "share-keys" if node.entries().is_empty() && node.children().is_none() => {
                    options.share_keys = true;
                }
                "share-keys" => return Err(self.argument_error(node, "no arguments")),
                "clocks-differ" => options.clocks_differ = duration_in_range(1, 10_000)?,
                "wait" => options.wait = duration_in_range(1, 1_000)?,
                _ => {
                    let name = self.string_argument(node, "a name")?;
                    let is_valid = (1..=64).contains(&name.len())
                        && name.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b));
                    if !is_valid {
                        let expected = "1 to 64 letters, digits, '-', '_' or '.'";
                        return Err(self.value_error(node, quoted(name), expected));
                    }
                    options.namespace = name.to_owned();
                }
            }
        }
        Ok(options)
    }
}

/// The text in double quotes, as written in the file.
fn quoted(text: &str) -> String {
    format!("\"{text}\"")
}

/// Parses the text of an operator's file.
///
/// # Errors
/// The first error found.
pub fn read(text: &str) -> Result<OperatorConfig, OperatorFileError> {
    let source = SourceText(text);
    let document = KdlDocument::parse(text).map_err(|error| {
        let first = error.diagnostics.first();
        let message = first.and_then(|d| d.message.clone().or(d.label.clone()));
        let line = source.line_of_offset(first.map_or(0, |d| d.span.offset()));
        OperatorFileError { line, kind: OperatorFileErrorKind::Syntax(message) }
    })?;
    let mut operator = OperatorConfig::default();
    let known = ["cores", "flight", "engines", "contract", "store", "peers", "state"];
    for node in source.checked_nodes(&document, &known, &["contract"])? {
        match node.name().value() {
            "cores" => {
                operator.cores = source.integer_argument(node, 1, MAX_CORES)?;
                operator.cores_line = source.line(node);
            }
            "flight" => operator.flight = Some(source.flight(node)?),
            "engines" => {
                let expected = "\"resp\" or \"flight-sql\"";
                operator.engine_protocol = match source.string_argument(node, expected)? {
                    "resp" => EngineProtocol::Resp,
                    "flight-sql" => EngineProtocol::FlightSql,
                    other => return Err(source.value_error(node, quoted(other), expected)),
                };
            }
            "peers" => operator.peers = Some(source.peers(node)?),
            "state" => {
                let folder = source.string_argument(node, "a folder path")?;
                if !folder.starts_with('/') {
                    let expected = "an absolute path";
                    return Err(source.value_error(node, quoted(folder), expected));
                }
                let line = source.line(node);
                operator.state = Some(PersistenceOptions { folder: folder.into(), line });
            }
            "contract" => operator.contracts.get_or_insert_default().push(source.contract(node)?),
            _ => operator.store = source.store(node)?,
        }
    }
    Ok(operator)
}

#[cfg(test)]
mod tests;
