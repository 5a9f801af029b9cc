//! Initialization of the log output.

use std::io;
use std::io::Write as _;
use std::iter;
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
/// Maximum size of the lines that wait to be written, in bytes: callers choose the length of their ids.
pub(crate) const MAX_WAITING_BYTES: usize = 2 * 1024 * 1024;
/// Size from which a batch is written, in bytes.
const BATCH_BYTES: usize = 64 * 1024;
/// Time for which lines are batched before they are written.
const WRITE_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// An appender with a bounded queue, which never blocks the logging thread.
#[derive(Debug)]
struct BoundedOutput {
    layout: layout::JsonLayout,
    lines: sync::mpsc::SyncSender<Vec<u8>>,
    counts: sync::Arc<LineCounts>,
}

/// Lines between their thread and the one that writes them.
#[derive(Debug, Default)]
struct LineCounts {
    /// Memory of the lines that wait, in bytes.
    waiting_bytes: atomic::AtomicUsize,
    /// Lines that were dropped and not reported yet.
    dropped: atomic::AtomicU64,
}

impl LineCounts {
    /// Counts a line that is to wait; returns false if too much waits already.
    fn add(&self, line: &Vec<u8>) -> bool {
        let within = |bytes: usize| {
            let sum = bytes + line.capacity();
            (sum <= MAX_WAITING_BYTES).then_some(sum)
        };
        let (set, fetch) = (atomic::Ordering::Relaxed, atomic::Ordering::Relaxed);
        self.waiting_bytes.fetch_update(set, fetch, within).is_ok()
    }

    fn remove(&self, line: &Vec<u8>) {
        self.waiting_bytes.fetch_sub(line.capacity(), atomic::Ordering::Relaxed);
    }
}

impl append::Append for BoundedOutput {
    fn append(
        &self,
        record: &logforth::record::Record,
        diagnostics: &[Box<dyn logforth::Diagnostic>],
    ) -> Result<(), logforth::Error> {
        let line = self.layout.format(record, diagnostics)?;
        let sent = match self.counts.add(&line) {
            true => self.lines.try_send(line).map_err(|error| match error {
                sync::mpsc::TrySendError::Full(line)
                | sync::mpsc::TrySendError::Disconnected(line) => self.counts.remove(&line),
            }),
            false => Err(()),
        };
        if sent.is_err() {
            self.counts.dropped.fetch_add(1, atomic::Ordering::Relaxed);
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
    let counts = sync::Arc::<LineCounts>::default();
    let layout = layout::JsonLayout::default().timezone(jiff::tz::TimeZone::UTC);
    let output = BoundedOutput { layout, lines, counts: sync::Arc::clone(&counts) };
    let writer = thread::Builder::new().name("logs".to_owned());
    let spawned = writer.spawn(move || write_lines(&queue, &counts));
    if let Err(error) = spawned {
        eprintln!("coltsfootd: could not start the log thread: {error}; logging is disabled");
        return;
    }
    let logger = core::builder().dispatch(|dispatch| dispatch.append(output)).build();
    if log::set_boxed_logger(Box::new(bridge::log::LogBridge::new(logger))).is_ok() {
        log::set_max_level(level_filter(level));
    }
}

fn write_lines(queue: &sync::mpsc::Receiver<Vec<u8>>, counts: &LineCounts) {
    while let Ok(first) = queue.recv() {
        thread::sleep(WRITE_INTERVAL);
        let mut batch = Vec::new();
        for line in iter::once(first).chain(queue.try_iter()) {
            batch.extend_from_slice(&line);
            batch.push(b'\n');
            counts.remove(&line);
            if batch.len() >= BATCH_BYTES {
                write_batch(&mut batch);
            }
        }
        let missed = counts.dropped.swap(0, atomic::Ordering::Relaxed);
        if missed > 0 {
            let note = format!("{{\"level\":\"WARN\",\"message\":\"lines_dropped: {missed}\"}}\n");
            batch.extend_from_slice(note.as_bytes());
        }
        write_batch(&mut batch);
    }
}

/// Writes lines and empties the batch.
fn write_batch(batch: &mut Vec<u8>) {
    let mut output = io::stdout().lock();
    // If standard output fails, there is nowhere to report it.
    let _ = output.write_all(batch).and_then(|()| output.flush());
    batch.clear();
}

fn level_filter(level: settings::LogLevel) -> log::LevelFilter {
    match level {
        settings::LogLevel::Error => log::LevelFilter::Error,
        settings::LogLevel::Warn => log::LevelFilter::Warn,
        settings::LogLevel::Info => log::LevelFilter::Info,
        settings::LogLevel::Debug => log::LevelFilter::Debug,
    }
}
