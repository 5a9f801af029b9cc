//! Initialization of the log output.

use std::io;
use std::io::Write as _;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use logforth::append;
use logforth::bridge;
use logforth::core;
use logforth::layout;
use logforth::layout::Layout as _;

use crate::settings;

/// Installs a logger that writes to standard error. Only the first call in a process has an effect.
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

/// Maximum number of lines that wait to be written; further ones are dropped and counted.
const MAX_WAITING_LINES: usize = 4096;
/// Time for which lines are batched before they are written.
const WRITE_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// An appender with a bounded queue, which never blocks the logging thread.
#[derive(Debug)]
struct BoundedOutput {
    layout: layout::JsonLayout,
    lines: sync::mpsc::SyncSender<Vec<u8>>,
    dropped: sync::Arc<atomic::AtomicU64>,
}

impl append::Append for BoundedOutput {
    fn append(
        &self,
        record: &logforth::record::Record,
        diagnostics: &[Box<dyn logforth::Diagnostic>],
    ) -> Result<(), logforth::Error> {
        let line = self.layout.format(record, diagnostics)?;
        if self.lines.try_send(line).is_err() {
            self.dropped.fetch_add(1, atomic::Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), logforth::Error> {
        Ok(())
    }
}

/// Installs a logger that writes JSON lines to standard output from a dedicated thread.
pub fn start_bounded(level: settings::LogLevel) {
    let (lines, queue) = sync::mpsc::sync_channel(MAX_WAITING_LINES);
    let dropped = sync::Arc::new(atomic::AtomicU64::new(0));
    let layout = layout::JsonLayout::default().timezone(jiff::tz::TimeZone::UTC);
    let output = BoundedOutput { layout, lines, dropped: sync::Arc::clone(&dropped) };
    let writer = thread::Builder::new().name("logs".to_owned());
    let spawned = writer.spawn(move || write_lines(&queue, &dropped));
    if let Err(error) = spawned {
        eprintln!("coltsfootd: could not start the log thread: {error}; logging is disabled");
        return;
    }
    let logger = core::builder().dispatch(|dispatch| dispatch.append(output)).build();
    if log::set_boxed_logger(Box::new(bridge::log::LogBridge::new(logger))).is_ok() {
        log::set_max_level(level_filter(level));
    }
}

fn write_lines(queue: &sync::mpsc::Receiver<Vec<u8>>, dropped: &atomic::AtomicU64) {
    while let Ok(first) = queue.recv() {
        thread::sleep(WRITE_INTERVAL);
        let mut text = first;
        text.push(b'\n');
        for line in queue.try_iter() {
            text.extend_from_slice(&line);
            text.push(b'\n');
        }
        let missed = dropped.swap(0, atomic::Ordering::Relaxed);
        if missed > 0 {
            let note = format!("{{\"level\":\"WARN\",\"message\":\"lines_dropped: {missed}\"}}\n");
            text.extend_from_slice(note.as_bytes());
        }
        let mut output = io::stdout().lock();
        // If standard output fails, there is nowhere to report it.
        let _ = output.write_all(&text).and_then(|()| output.flush());
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
