//! Ledger of the zone's share of the fleet's load budget.

use coltsfoot_placement::budget;
use coltsfoot_platform::engine;
use coltsfoot_types::{id, name, time as instant};
use coltsfoot_wire::{peer, placement};

use crate::control::member::MemberHost;
use crate::control::placement::{PlacementContext, PlacementHost};
use crate::control::resource::OwnedResource;
use crate::settings;

impl PlacementHost {
    /// Applies a gain (with its fencing number) or loss of the load ledger's ownership.
    pub fn apply_ledger_ownership(
        &mut self,
        now: instant::MonotonicTime,
        fencing: Option<id::FencingNumber>,
        context: &PlacementContext<'_>,
    ) {
        let event = match fencing {
            Some(fencing) => budget::LedgerEvent::OwnershipGained { fencing },
            None => budget::LedgerEvent::OwnershipLost,
        };
        self.ledger_event(now, event, context);
    }

    pub(super) fn ledger_event(
        &mut self,
        now: instant::MonotonicTime,
        event: budget::LedgerEvent,
        context: &PlacementContext<'_>,
    ) {
        let actions = self.ledger.handle(now, event);
        for action in actions {
            let (receiver, message) = match action {
                budget::LedgerAction::Grant { cell, grant, start_within } => {
                    let owner = context.member.owner_of(&OwnedResource::Cell(cell.clone()));
                    (owner, placement::PlacementMessage::LoadGrant { cell, grant, start_within })
                }
                budget::LedgerAction::RequestLoan { zone, wanted } => {
                    let own_zone = self.shared.settings.zone.clone();
                    let owner = self.ledger_owner(&zone, context);
                    (owner, placement::PlacementMessage::LoanRequest { zone: own_zone, wanted })
                }
                budget::LedgerAction::ReturnLoan { zone, loads, used } => {
                    let own_zone = self.shared.settings.zone.clone();
                    let owner = self.ledger_owner(&zone, context);
                    let message =
                        placement::PlacementMessage::LoanReturn { zone: own_zone, loads, used };
                    (owner, message)
                }
                budget::LedgerAction::GrantLoan { zone, loads, start_within } => {
                    let own_zone = self.shared.settings.zone.clone();
                    let owner = self.ledger_owner(&zone, context);
                    let loan =
                        placement::PlacementMessage::Loan { zone: own_zone, loads, start_within };
                    (owner, loan)
                }
            };
            if let Some(receiver) = receiver {
                context.network.send(&receiver, peer::PeerMessage::Placement(message));
            }
        }
    }

    pub(super) fn ledger_owner(
        &self,
        zone: &name::ZoneName,
        context: &PlacementContext<'_>,
    ) -> Option<name::InstanceName> {
        MemberHost::expected_owner(context.directory, zone, &OwnedResource::Ledger)
    }
}

/// Returns the settings for this zone's share of the fleet's load budget. Loads that don't divide
/// evenly among the zones go to the first ones by name.
pub(super) fn ledger_settings(settings: &settings::DaemonSettings) -> budget::LedgerSettings {
    let mut zones = settings.fleet_zones.clone();
    zones.sort();
    zones.dedup();
    let position = zones.iter().position(|zone| *zone == settings.zone).unwrap_or_default();
    let count = zones.len() as u32;
    let extra = u32::from((position as u32) < settings.fleet_loads_in_flight % count);
    budget::LedgerSettings::builder()
        .peers(zones.into_iter().filter(|zone| *zone != settings.zone).collect())
        .zone(settings.zone.clone())
        .loads_in_flight(settings.fleet_loads_in_flight / count + extra)
        .max_load_time(engine::ORDER_TIMEOUT)
        .loads_per_second(settings.store_loads_per_second / f64::from(count))
        .build()
}
