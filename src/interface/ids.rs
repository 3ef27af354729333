//! Identifiers and time.

/// A point in time on the controller's clock, in microseconds from an arbitrary start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(pub u64);

macro_rules! define_ids {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    )*};
}

define_ids! {
    /// Id of a client's request, assigned by the controller; never reused.
    RequestId(u64);
    /// Id of an engine; stays the same over restarts.
    EngineId(u32);
    /// Index into [`Settings::classes`](super::Settings::classes).
    ClassId(usize);
    /// Index into [`Settings::tenants`](super::Settings::tenants).
    TenantId(usize);
    /// Id of a zone, in which engines and gateways run.
    ZoneId(usize);
    /// Index into [`Settings::kinds`](super::Settings::kinds).
    KindId(usize);
    /// Id of a cell: a small set of engines that deduplicate requests together.
    CellId(u64);
    /// Id of an ordering key.
    OrderingKeyId(u64);
    /// Id of a group of tables.
    TableGroupId(u64);
    /// Number of an attempt within its request, from 0 in the order of sending.
    AttemptNo(u32);
}
