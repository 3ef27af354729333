//! An error in an operator's file.

use std::fmt;

/// What is wrong with a file, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperatorFileError {
    /// Counted from 1.
    pub line: usize,
    /// What was found and what was expected.
    pub what: String,
}

impl fmt::Display for OperatorFileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.what)
    }
}

impl std::error::Error for OperatorFileError {}
