//! Settings that make no sense, told by the field at fault.

use crate::interface::{Settings, SettingsError};

pub(crate) fn check(settings: &Settings) -> Result<(), SettingsError> {
    let kinds = settings.kinds.len();
    let wrong = [
        (settings.gateways == 0, "gateways", "must be at least 1"),
        (settings.classes.is_empty(), "classes", "there is none"),
        (settings.classes.iter().any(|c| c.threads == 0), "classes.threads", "must be at least 1"),
        (
            settings.classes.iter().flat_map(|c| c.kinds.iter().flatten()).any(|k| k.0 >= kinds),
            "classes.kinds",
            "names a kind that is not there",
        ),
    ];
    match wrong.into_iter().find(|w| w.0) {
        Some((_, field, reason)) => Err(SettingsError { field, reason }),
        None => Ok(()),
    }
}
