//! The configuration as a state machine driven by the configuration log.

use std::collections;

use coltsfoot_types::id;
use rustc_hash::FxHashMap;

use crate::{object, problem, reference, state, validate, view};

/// Number of offsets for which the id of a change set is remembered. A set that is appended again
/// within them is applied once.
pub const CHANGE_ID_RETENTION_OFFSETS: u64 = 16_384;

/// Largest record, in bytes.
pub const MAX_RECORD_BYTES: usize = 1024 * 1024;

/// Result of applying one record.
#[derive(Debug)]
pub enum ApplyOutcome {
    /// The set is in force.
    Accepted {
        /// The objects that it touched, ordered.
        touched: Vec<reference::ObjectRef>,
    },
    /// The record changed only the offset.
    Rejected(RejectReason),
    /// A set with the same id has been applied or rejected before.
    Duplicate {
        /// Offset of the first one.
        first: id::LogOffset,
    },
    /// The record has been applied before; nothing changed.
    Skipped,
    /// Records are missing before this one; nothing changed.
    Gap {
        /// Offset of the first missing record.
        expected: id::LogOffset,
    },
}

/// Why a record was rejected.
#[derive(Debug, thiserror::Error)]
pub enum RejectReason {
    /// The record isn't a change set.
    #[error("the record is not a change set: {0}; publish with coltsfootctl")]
    Malformed(#[from] serde_json::Error),
    /// The record is too large.
    #[error("the record has {0} bytes, more than {MAX_RECORD_BYTES}; split the set")]
    TooLarge(usize),
    /// The set has no changes.
    #[error("the set changes nothing; list at least one change")]
    Empty,
    /// Objects are invalid, or another operator has changed them.
    #[error("{}", error_lines(.0))]
    Invalid(Vec<problem::ObjectError>),
}

/// Replica of the configuration, built by applying the log, with the ids of recent change sets.
#[derive(Clone, Debug, Default)]
pub struct CatalogReplica {
    next_offset: id::LogOffset,
    state: state::CatalogState,
    change_offsets: FxHashMap<uuid::Uuid, id::LogOffset>,
    recent_changes: collections::VecDeque<RecentChange>,
}

/// The id of a change set that has been applied or rejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct RecentChange {
    /// Offset of the record.
    pub offset: id::LogOffset,
    /// Id of the set.
    pub change_id: uuid::Uuid,
}

impl CatalogReplica {
    /// Creates an empty replica at offset 0.
    pub fn new() -> Self {
        Self::default()
    }

    /// Restores a replica from a consistent state that holds all records below `next_offset`.
    pub(crate) fn restore(
        next_offset: id::LogOffset,
        state: state::CatalogState,
        changes: Vec<RecentChange>,
    ) -> Self {
        let change_offsets = changes.iter().map(|change| (change.change_id, change.offset));
        Self {
            next_offset,
            state,
            change_offsets: change_offsets.collect(),
            recent_changes: changes.into(),
        }
    }

    /// Returns the offset of the next record to apply.
    pub fn next_offset(&self) -> id::LogOffset {
        self.next_offset
    }

    /// Returns the objects.
    pub fn state(&self) -> &state::CatalogState {
        &self.state
    }

    /// Returns the ids of the recent change sets, in the order of their offsets.
    pub fn recent_changes(&self) -> impl ExactSizeIterator<Item = &RecentChange> {
        self.recent_changes.iter()
    }

    /// Returns the offset of the first record with a change id, if the id is remembered.
    pub fn change_offset(&self, change_id: &uuid::Uuid) -> Option<id::LogOffset> {
        self.change_offsets.get(change_id).copied()
    }

    /// Returns an immutable view for traffic threads. It shares its data with the replica.
    pub fn view(&self) -> view::CatalogView {
        view::CatalogView::new(self.next_offset, self.state.clone())
    }

    /// Applies the record at `offset`. Any but the next record is ignored.
    pub fn apply(&mut self, offset: id::LogOffset, value: &str) -> ApplyOutcome {
        if offset < self.next_offset {
            return ApplyOutcome::Skipped;
        }
        if offset > self.next_offset {
            return ApplyOutcome::Gap { expected: self.next_offset };
        }
        self.next_offset = offset.next();
        self.expire_change_ids();
        if value.len() > MAX_RECORD_BYTES {
            return ApplyOutcome::Rejected(RejectReason::TooLarge(value.len()));
        }
        let set = match serde_json::from_str::<object::ChangeSet>(value) {
            Ok(set) => set,
            Err(error) => return ApplyOutcome::Rejected(error.into()),
        };
        if let Some(first) = self.change_offsets.get(&set.change_id) {
            return ApplyOutcome::Duplicate { first: *first };
        }
        self.record_change_id(offset, set.change_id);
        match self.changed_state(offset, set) {
            Ok((state, touched)) => {
                self.state = state;
                ApplyOutcome::Accepted { touched: touched.into_iter().collect() }
            }
            Err(reason) => ApplyOutcome::Rejected(reason),
        }
    }

    /// Returns whether the set would be accepted if it were the next record.
    pub fn check(&self, set: object::ChangeSet) -> Result<(), RejectReason> {
        self.changed_state(self.next_offset, set).map(drop)
    }

    fn changed_state(
        &self,
        offset: id::LogOffset,
        set: object::ChangeSet,
    ) -> Result<(state::CatalogState, collections::BTreeSet<reference::ObjectRef>), RejectReason>
    {
        if set.changes.is_empty() {
            return Err(RejectReason::Empty);
        }
        let touched = self.check_revisions(&set)?;
        let mut state = self.state.clone();
        for object in &touched {
            state.remove(object);
        }
        for change in set.changes {
            if let object::ChangeAction::Put(object) = change.action {
                state.insert(offset, object);
            }
        }
        let errors = validate::check_touched(&self.state, &state, &touched);
        if !errors.is_empty() {
            return Err(RejectReason::Invalid(errors));
        }
        Ok((state, touched))
    }

    fn check_revisions(
        &self,
        set: &object::ChangeSet,
    ) -> Result<collections::BTreeSet<reference::ObjectRef>, RejectReason> {
        let mut touched = collections::BTreeSet::new();
        let mut errors = Vec::new();
        for change in &set.changes {
            let object = change.action.object();
            let current = self.state.revision(&object);
            let removes = matches!(change.action, object::ChangeAction::Remove { .. });
            if !touched.insert(object.clone()) {
                let problem = problem::ObjectProblem::RepeatedChange;
                errors.push(problem::ObjectError { object, field: "name", problem });
            } else if change.revision != current || (removes && current.is_none()) {
                let expected = change.revision;
                let problem = problem::ObjectProblem::RevisionConflict { expected, current };
                errors.push(problem::ObjectError { object, field: "revision", problem });
            }
        }
        if errors.is_empty() { Ok(touched) } else { Err(RejectReason::Invalid(errors)) }
    }

    fn record_change_id(&mut self, offset: id::LogOffset, change_id: uuid::Uuid) {
        self.change_offsets.insert(change_id, offset);
        self.recent_changes.push_back(RecentChange { offset, change_id });
    }

    fn expire_change_ids(&mut self) {
        let oldest = self.next_offset.0.saturating_sub(CHANGE_ID_RETENTION_OFFSETS);
        while let Some(change) = self.recent_changes.front().filter(|first| first.offset.0 < oldest)
        {
            self.change_offsets.remove(&change.change_id);
            self.recent_changes.pop_front();
        }
    }
}

fn error_lines(errors: &[problem::ObjectError]) -> String {
    let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
