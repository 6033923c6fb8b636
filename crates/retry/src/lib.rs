//! Retry budgets of a router, and what other routers keep of them. Performs no I/O; callers pass the
//! current time to every call.

mod budget;
mod budgets;
mod history;
mod keeper;

pub use {
    budget::RetryBudget,
    budgets::{
        KNOWN_HISTORY_FRACTION, MAX_REPORT_GAP, RetryBudgets, RetryDecision, RetryLimits,
        UNKNOWN_HISTORY_FRACTION,
    },
    history::{Period, RetryHistory, ServiceId},
    keeper::HistoryKeeper,
};
