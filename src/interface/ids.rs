//! Identifiers and time.

/// An instant on the controller's clock, in microseconds from an arbitrary start.
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
    /// One request of a client, as the controller numbers it; never used twice.
    RequestId(u64);
    /// One engine; keeps its id over restarts.
    EngineId(u32);
    /// Position in [`Settings::classes`](super::Settings::classes).
    ClassId(usize);
    /// Position in [`Settings::tenants`](super::Settings::tenants).
    TenantId(usize);
    /// A location.
    ZoneId(usize);
    /// Position in [`Settings::kinds`](super::Settings::kinds).
    KindId(usize);
    /// A small set of engines that deduplicate requests together.
    CellId(u64);
    /// An ordering key.
    KeyId(u64);
    /// A group of tables.
    GroupId(u64);
    /// Number of a request's attempt, from 0 in the order in which they are sent.
    AttemptNo(u32);
}
