//! Validation of the settings.

use crate::interface::{Settings, SettingsError};

/// Returns an error for the first invalid field.
pub(crate) fn validate_settings(settings: &Settings) -> Result<(), SettingsError> {
    let kinds = settings.kinds.len();
    let has_unknown_kind =
        |class: &crate::interface::ClassSettings| class.kinds.iter().flatten().any(|kind| kind.0 >= kinds);
    let error = |field, reason| Err(SettingsError { field, reason });
    if settings.gateways == 0 {
        return error("gateways", "must be at least 1");
    }
    if settings.classes.is_empty() {
        return error("classes", "must not be empty");
    }
    if settings.classes.iter().any(|class| class.threads == 0) {
        return error("classes.threads", "must be at least 1");
    }
    if settings.classes.iter().any(has_unknown_kind) {
        return error("classes.kinds", "contains an unknown kind");
    }
    Ok(())
}
