//! Sends orders to engines and polls their reports, as tasks of the control thread.

use std::cell;
use std::net;
use std::rc;
use std::sync;
use std::time;

use coltsfoot_placement::event as cells;
use coltsfoot_platform::{engine, error, http};
use coltsfoot_types::{name, time as instant};
use coltsfoot_wire::placement;
use rustc_hash::FxHashMap;

use crate::control::{ControlEvent, EventSender};
use crate::{event, shared};

/// Time between two polls of an engine.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Poll schedule of an engine.
struct EnginePoll {
    next: instant::MonotonicTime,
    in_flight: bool,
}

/// Sends orders to engines and polls their reports.
pub struct EngineDispatcher {
    shared: sync::Arc<shared::InstanceShared>,
    pool: http::HttpPool,
    executor: rc::Rc<async_executor::LocalExecutor<'static>>,
    events: EventSender,
    polls: rc::Rc<cell::RefCell<FxHashMap<name::UpstreamName, EnginePoll>>>,
}

impl EngineDispatcher {
    /// Creates a dispatcher; results are sent to `events`.
    pub fn new(
        shared: sync::Arc<shared::InstanceShared>,
        pool: http::HttpPool,
        executor: rc::Rc<async_executor::LocalExecutor<'static>>,
        events: EventSender,
    ) -> Self {
        Self { shared, pool, executor, events, polls: rc::Rc::default() }
    }

    /// Sends an order and reports its outcome as [`ControlEvent::OrderEnded`].
    pub fn send_order(
        &self,
        cell: placement::CellId,
        order: cells::EngineOrder,
        is_load: bool,
        address: Option<net::SocketAddr>,
    ) {
        let shared = sync::Arc::clone(&self.shared);
        let events = self.events.clone();
        let pool = self.pool.clone();
        let client = address.map(|address| engine::EngineClient::new(pool, address));
        let ordering = async move {
            let outcome = match client {
                Some(client) => execute(&shared, &order, is_load, &client).await,
                None => cells::OrderOutcome::Failed,
            };
            let order = order.id;
            events.send(ControlEvent::OrderEnded { cell, order, is_load, outcome });
        };
        self.executor.spawn(ordering).detach();
    }

    /// Polls an engine unless a poll is in flight or was started less than 500 ms ago.
    pub fn poll(
        &self,
        now: instant::MonotonicTime,
        engine: &name::UpstreamName,
        address: net::SocketAddr,
    ) {
        let mut polls = self.polls.borrow_mut();
        let poll =
            polls.entry(engine.clone()).or_insert(EnginePoll { next: now, in_flight: false });
        if poll.in_flight || now < poll.next {
            return;
        }
        poll.in_flight = true;
        poll.next = now + POLL_INTERVAL;
        let client = engine::EngineClient::new(self.pool.clone(), address);
        let polls = rc::Rc::clone(&self.polls);
        let events = self.events.clone();
        let engine = engine.clone();
        let polling = async move {
            read_engine(&client, &events, &engine).await;
            if let Some(poll) = polls.borrow_mut().get_mut(&engine) {
                poll.in_flight = false;
            }
        };
        self.executor.spawn(polling).detach();
    }
}

async fn execute(
    shared: &shared::InstanceShared,
    order: &cells::EngineOrder,
    is_load: bool,
    client: &engine::EngineClient,
) -> cells::OrderOutcome {
    let result = match is_load {
        true => client.load(&order.adapter, order.fencing).await,
        false => client.unload(&order.adapter, order.fencing).await,
    };
    let engine = &order.engine;
    let adapter = &order.adapter;
    match result {
        Ok(()) => cells::OrderOutcome::Done,
        Err(engine::OrderError::StaleFencing) => {
            event::emit(event::ORDER_FENCED, format_args!("{engine}: {adapter}"));
            cells::OrderOutcome::Fenced
        }
        Err(error) => {
            if is_load {
                shared.metrics.count_load_failure();
            }
            event::emit(event::LOAD_FAILED, format_args!("{engine}: {adapter}: {error}"));
            cells::OrderOutcome::Failed
        }
    }
}

/// Fetches an engine's report. A refused connection means that its process has ended; other errors
/// say nothing about it.
async fn read_engine(
    client: &engine::EngineClient,
    events: &EventSender,
    engine: &name::UpstreamName,
) {
    match client.report().await {
        Ok(report) => events.send(ControlEvent::EngineReported(engine.clone(), report)),
        Err(error::ClientError::Http(error::HttpError::Connect { .. })) => {
            events.send(ControlEvent::EngineClosed(engine.clone()));
        }
        Err(_) => {}
    }
}
