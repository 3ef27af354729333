//! Parses the commands of the admin interface, one per line. Pure functions without I/O.

use std::fmt;

/// Maximum length of a line, without its terminator.
pub const MAX_LINE_BYTES: usize = 256;

/// A command of the admin interface.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Reports whether this process accepts clients.
    Health,
    /// Reports the metrics.
    Dump,
    /// Takes the engine with this id out of service.
    Offline(String),
    /// Returns the engine with this id to service.
    Online(String),
    /// Cancels the query of the MySQL connection with this id in this process.
    Kill(u32),
}

/// Why a line is not a valid command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandParseError {
    /// The line is empty or contains only spaces.
    Empty,
    /// The line is longer than [`MAX_LINE_BYTES`].
    TooLong,
    /// The line is not valid UTF-8.
    InvalidUtf8,
    /// The line contains a control character.
    ControlCharacter,
    /// There is no such command.
    UnknownCommand,
    /// The command requires an engine id, and none was given.
    MissingEngineId,
    /// The command requires a connection id, and none was given, or it is not a number.
    InvalidConnectionId,
    /// There are more arguments than the command takes.
    ExtraArguments,
    /// The connection was closed before the line was complete.
    Incomplete,
}

impl fmt::Display for CommandParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Empty => "the line is empty",
            Self::TooLong => "the line is longer than 256 bytes",
            Self::InvalidUtf8 => "the line is not UTF-8",
            Self::ControlCharacter => "the line contains a control character",
            Self::UnknownCommand => {
                "unknown command; expected HEALTH, DUMP, OFFLINE ID, ONLINE ID or KILL ID"
            }
            Self::MissingEngineId => "the command needs the id of an engine",
            Self::InvalidConnectionId => "the command needs the id of a connection",
            Self::ExtraArguments => "the command has too many words",
            Self::Incomplete => "the connection ended before the line did",
        })
    }
}

impl std::error::Error for CommandParseError {}

/// Returns the first line of `bytes` without its terminator (LF, or CR LF as the operators' tools send it); `None`
/// until the line is complete.
///
/// # Errors
/// If the line is too long.
pub fn complete_line(bytes: &[u8]) -> Result<Option<&[u8]>, CommandParseError> {
    match bytes.iter().take(MAX_LINE_BYTES + 2).position(|byte| *byte == b'\n') {
        Some(end) => {
            let line = &bytes[..end];
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if line.len() > MAX_LINE_BYTES { Err(CommandParseError::TooLong) } else { Ok(Some(line)) }
        }
        None if bytes.len() > MAX_LINE_BYTES + 1 => Err(CommandParseError::TooLong),
        None => Ok(None),
    }
}

/// Parses a command from a line without its terminator.
///
/// # Errors
/// If the line is not a valid command.
pub fn parse_command(line: &[u8]) -> Result<Command, CommandParseError> {
    if line.len() > MAX_LINE_BYTES {
        return Err(CommandParseError::TooLong);
    }
    let text = std::str::from_utf8(line).map_err(|_| CommandParseError::InvalidUtf8)?;
    if text.chars().any(char::is_control) {
        return Err(CommandParseError::ControlCharacter);
    }
    let mut words = text.split(' ').filter(|word| !word.is_empty());
    let (command, id) = (words.next().ok_or(CommandParseError::Empty)?, words.next().map(str::to_owned));
    let takes_engine_id = matches!(command, "OFFLINE" | "ONLINE");
    if words.next().is_some() || id.is_some() && matches!(command, "HEALTH" | "DUMP") {
        return Err(CommandParseError::ExtraArguments);
    }
    match (command, id) {
        ("HEALTH", None) => Ok(Command::Health),
        ("DUMP", None) => Ok(Command::Dump),
        ("OFFLINE", Some(id)) => Ok(Command::Offline(id)),
        ("ONLINE", Some(id)) => Ok(Command::Online(id)),
        ("KILL", id) => parse_connection_id(id).map(Command::Kill),
        _ if takes_engine_id => Err(CommandParseError::MissingEngineId),
        _ => Err(CommandParseError::UnknownCommand),
    }
}

fn parse_connection_id(text: Option<String>) -> Result<u32, CommandParseError> {
    let id = text.and_then(|text| text.parse().ok());
    id.ok_or(CommandParseError::InvalidConnectionId)
}

#[cfg(test)]
mod tests;
