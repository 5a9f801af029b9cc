//! Takes over changes of the settings file, with or without a signal.

use std::sync;
use std::time;

use site_platform::settings;

use crate::event;
use crate::gateway::state;

/// Time between looks at the settings file.
const CHECK_INTERVAL: time::Duration = time::Duration::from_secs(2);

/// Looks at the settings file for as long as the process runs.
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

/// Reads the settings again. The promised bounds are taken over; the rest needs a new process.
pub(crate) fn reload(state: &state::GatewayState) {
    match settings::SiteSettings::read() {
        Ok(read) => {
            let needs_restart = state.settings.needs_restart(&read);
            let has_changed = **state.bounds.load() != read.bounds;
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
            event = event::RELOAD_FAILED.number; "reload_failed: {error}; the settings stay as they are"
        ),
    }
}
