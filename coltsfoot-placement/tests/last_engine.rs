//! When the last engine leaves a cell, its waiting requests are refused immediately, so that
//! another cell can take them.

mod common;

use coltsfoot_placement::event::CellEvent;
use coltsfoot_types::refusal::RefusalReason;
use coltsfoot_wire::placement::PermitRefusalReason;
use rstest::rstest;

#[rstest]
#[case::gone(CellEvent::EngineRemoved { engine: "e1".into() })]
#[case::leaving(CellEvent::EngineLeaving { engine: "e1".into() })]
fn waiting_requests_are_refused_when_the_last_engine_leaves(#[case] loss: CellEvent) {
    let mut test = common::TestCell::new(2, 2, 8);
    let attempt = test.want("menus@1");
    assert_eq!(test.refused(attempt), None);
    test.send(CellEvent::EngineRemoved { engine: "e0".into() });
    assert_eq!(test.refused(attempt), None, "one engine remains");
    test.send(loss);
    let refused = PermitRefusalReason::Refused(RefusalReason::NoUpstream);
    assert_eq!(test.refused(attempt), Some(refused));
}
