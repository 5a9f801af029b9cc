//! Set-up of the log output.

use logforth::append;
use logforth::bridge;
use logforth::core;
use logforth::layout;

use crate::settings;

/// Starts writing logs to standard error. Only the first call in a process has an effect.
pub fn start(format: settings::LogFormat, level: settings::LogLevel) {
    let output = match format {
        settings::LogFormat::Text => {
            append::Stderr::default().with_layout(layout::TextLayout::default().no_color())
        }
        settings::LogFormat::Json => {
            append::Stderr::default().with_layout(layout::JsonLayout::default())
        }
    };
    let logger = core::builder().dispatch(|dispatch| dispatch.append(output)).build();
    if log::set_boxed_logger(Box::new(bridge::log::LogBridge::new(logger))).is_ok() {
        log::set_max_level(level_filter(level));
    }
}

fn level_filter(level: settings::LogLevel) -> log::LevelFilter {
    match level {
        settings::LogLevel::Error => log::LevelFilter::Error,
        settings::LogLevel::Warn => log::LevelFilter::Warn,
        settings::LogLevel::Info => log::LevelFilter::Info,
        settings::LogLevel::Debug => log::LevelFilter::Debug,
    }
}
