//! Events are forwarded complete, once and in order.

use coltsfoot_gateway::event_stream::{self, EventDecision};

fn events(bytes: &[u8], step: usize) -> (Vec<event_stream::StreamEvent>, bool) {
    let mut splitter = event_stream::EventSplitter::default();
    let mut events = Vec::new();
    for part in bytes.chunks(step) {
        splitter.push(part);
        while let Some(event) = splitter.next_event() {
            events.push(event);
        }
    }
    (events, splitter.has_partial())
}

#[test]
fn events_do_not_depend_on_how_their_bytes_are_split() {
    let bytes = b"x-weight-versions: 3\nid: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c";
    let (whole, is_partial) = events(bytes, bytes.len());
    assert_eq!(whole.iter().map(|event| event.id).collect::<Vec<_>>(), [Some(1), Some(2)]);
    assert!(is_partial, "the third event is incomplete");
    for step in 1..bytes.len() {
        assert_eq!(events(bytes, step), (whole.clone(), true));
    }
}

#[test]
fn a_resumed_stream_continues_after_the_last_event() {
    let event = |id| event_stream::StreamEvent { id: Some(id), bytes: Vec::new() };
    let mut position = event_stream::StreamPosition::after(Some(4));
    assert_eq!(position.advance(&event(4)), EventDecision::Duplicate);
    assert_eq!(position.advance(&event(5)), EventDecision::Forward);
    assert_eq!(position.advance(&event(7)), EventDecision::Gap);
    assert_eq!(position.last(), Some(5));
    assert_eq!(position.forwarded(), 1);
}

#[test]
fn event_of_another_run_is_forwarded_only_if_its_id_follows() {
    let event = |id| event_stream::StreamEvent { id, bytes: Vec::new() };
    let mut position = event_stream::StreamPosition::after(None);
    position.begin_run();
    assert_eq!(position.advance(&event(None)), EventDecision::Forward, "of the first run");
    assert_eq!(position.advance(&event(Some(0))), EventDecision::Forward);
    position.begin_run();
    assert_eq!(position.advance(&event(None)), EventDecision::Gap);
    assert_eq!(position.advance(&event(Some(1))), EventDecision::Forward);
    let mut without_ids = event_stream::StreamPosition::after(None);
    without_ids.advance(&event(None));
    without_ids.begin_run();
    assert_eq!(without_ids.advance(&event(Some(0))), EventDecision::Gap);
}

#[test]
fn largest_event_id_is_no_fault() {
    let event = |id| event_stream::StreamEvent { id: Some(id), bytes: Vec::new() };
    let mut position = event_stream::StreamPosition::after(Some(u64::MAX));
    assert_eq!(position.advance(&event(u64::MAX)), EventDecision::Duplicate);
    assert_eq!(position.advance(&event(3)), EventDecision::Duplicate);
}
