//! What a schedule showed.

use coltsfoot_once::run_state::RunKnowledge;

use crate::once::caller::CallerAnswer;
use crate::once::world::ScheduleWorld;

/// What a schedule showed.
#[derive(Clone, Copy, Debug, Default)]
pub struct ScheduleResult {
    pub calls: u64,
    pub sends: u64,
    pub runs: u64,
    pub answered: u64,
    pub refused_not_run: u64,
    pub refused_unknown: u64,
    pub refused_ran: u64,
    pub double_runs: u64,
    pub false_not_run: u64,
    pub differing_answers: u64,
    pub false_ran: u64,
}

impl ScheduleWorld {
    /// Compares what the callers were told with what ran.
    pub(super) fn result(&self) -> ScheduleResult {
        let mut result = ScheduleResult {
            double_runs: self.service.double_runs(),
            false_ran: self.false_ran,
            ..ScheduleResult::default()
        };
        for call in &self.callers {
            let runs = self.service.runs_of(call.key);
            let runs = runs.iter().filter(|digest| **digest == call.digest).count() as u64;
            result.calls += 1;
            result.sends += u64::from(call.sends);
            result.runs += runs;
            result.false_not_run += u64::from(call.was_told_not_run() && runs > 0);
            result.differing_answers += u64::from(call.has_differing_answers());
            for answer in &call.answers {
                match answer {
                    CallerAnswer::Answered(_) => result.answered += 1,
                    CallerAnswer::Refused(RunKnowledge::NotRun) => result.refused_not_run += 1,
                    CallerAnswer::Refused(RunKnowledge::MayHaveRun) => result.refused_unknown += 1,
                    CallerAnswer::Refused(RunKnowledge::Ran) => result.refused_ran += 1,
                }
            }
        }
        result
    }
}
