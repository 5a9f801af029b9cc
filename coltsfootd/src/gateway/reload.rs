//! Reloads the settings file, on a signal or when the file has changed.

use std::sync;
use std::time;

use site_platform::settings;

use crate::event;
use crate::gateway::{cold, state};

/// Interval between checks of the settings file.
const CHECK_INTERVAL: time::Duration = time::Duration::from_secs(2);

/// Reloads the settings whenever the file has changed; never returns.
pub(crate) async fn watch(state: sync::Arc<state::GatewayState>) {
    let mut last = settings::file_stamp();
    loop {
        async_io::Timer::after(CHECK_INTERVAL).await;
        let stamp = settings::file_stamp();
        if stamp != last {
            last = stamp;
            reload(&state);
        }
    }
}

/// Reads the settings again. Only the bounds are applied; other settings take effect after a
/// restart.
pub(crate) fn reload(state: &state::GatewayState) {
    match settings::SiteSettings::read() {
        Ok(read) => {
            let needs_restart = state.settings.needs_restart(&read);
            let has_changed = **state.bounds.load() != read.bounds;
            state.view().cold_mut().set_bounds(cold::bounds(&read.bounds));
            state.bounds.store(sync::Arc::new(read.bounds));
            if has_changed {
                state::lock(&state.retries).clear();
            }
            log::info!(
                event = event::RELOADED.number, bounds_changed = has_changed,
                needs_restart = needs_restart; "reloaded"
            );
        }
        Err(error) => log::warn!(
            event = event::RELOAD_FAILED.number;
            "reload_failed: {error}; the current settings stay in force"
        ),
    }
}
