//! Settings that make no sense, reported by the field at fault.

use crate::interface::{Settings, SettingsError};

/// Names the first field that makes no sense.
pub(crate) fn check(settings: &Settings) -> Result<(), SettingsError> {
    let kinds = settings.kinds.len();
    let names_unknown_kind =
        |class: &crate::interface::ClassSettings| class.kinds.iter().flatten().any(|kind| kind.0 >= kinds);
    let error = |field, reason| Err(SettingsError { field, reason });
    if settings.gateways == 0 {
        return error("gateways", "must be at least 1");
    }
    if settings.classes.is_empty() {
        return error("classes", "there is none");
    }
    if settings.classes.iter().any(|class| class.threads == 0) {
        return error("classes.threads", "must be at least 1");
    }
    if settings.classes.iter().any(names_unknown_kind) {
        return error("classes.kinds", "names a kind that is not there");
    }
    Ok(())
}
