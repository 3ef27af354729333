//! Where budgets are counted: in this process, or in a Redis that all front ends share.

pub mod link;
mod memory;
mod redis;

pub use memory::Memory;
pub(crate) use memory::unix_ms;
pub use redis::Redis;

use std::fmt;
use std::future::Future;
use std::pin::Pin;
use tokio::time::Instant;

/// Why a store gave no count.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// No answer by the instant given.
    Slow,
    /// It can't be reached, or answered with an error.
    Gone(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Slow => write!(f, "no answer in time"),
            Self::Gone(why) => write!(f, "{why}"),
        }
    }
}

impl std::error::Error for StoreError {}

/// What a spend asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Spend {
    /// The budget's name, the window included.
    pub key: String,
    /// How much.
    pub amount: u64,
    /// The most that may be spent under this key.
    pub most: u64,
    /// When the key may be forgotten, in milliseconds of the Unix clock.
    pub expires_ms: u64,
}

/// A call to a store.
pub type Spending<'a> = Pin<Box<dyn Future<Output = Result<bool, StoreError>> + Send + 'a>>;

/// Counts what is spent. A spend is atomic: however many callers there are, no more than the most is granted.
pub trait Store: Send + Sync {
    /// Spends if there is enough left, and says whether there was; gives up at `by`.
    fn spend<'a>(&'a self, spend: &'a Spend, by: Instant) -> Spending<'a>;
}
