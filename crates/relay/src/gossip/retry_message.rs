//! What routers keep of each other's retry budgets in a gossip message, and its wire format.

use {
    baobab_retry::{Period, RetryHistory, ServiceId},
    baobab_unit::millis,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Exchange of the histories of retry budgets.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RetryMessage {
    /// What the sender has counted, for the receiver to keep.
    pub history: Option<RetryHistory>,
    /// Whether the sender asks for what its earlier run has counted.
    pub is_query: bool,
    /// What the receiver's earlier run has counted.
    pub answer: Option<KeptHistory>,
}

/// History of a router that another one has kept.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeptHistory {
    /// The history as of now.
    pub history: RetryHistory,
    /// Time since the router reported it.
    pub reported_ago: Duration,
}

/// Wire format of [`RetryMessage`].
#[derive(Debug, Serialize, Deserialize)]
pub struct WireRetryMessage {
    history: Option<WireHistory>,
    is_query: bool,
    answer: Option<(WireHistory, u64)>,
}

#[derive(Debug, Serialize, Deserialize)]
struct WireHistory(Vec<(ServiceId, Vec<WirePeriod>)>);

#[derive(Debug, Serialize, Deserialize)]
struct WirePeriod {
    age_ms: u32,
    requests: u32,
    retries: u32,
}

impl From<&RetryMessage> for WireRetryMessage {
    fn from(message: &RetryMessage) -> Self {
        Self {
            history: message.history.as_ref().map(WireHistory::from),
            is_query: message.is_query,
            answer: message.answer.as_ref().map(|kept| {
                let reported_ago_ms = millis(kept.reported_ago);
                (WireHistory::from(&kept.history), reported_ago_ms)
            }),
        }
    }
}

impl From<WireRetryMessage> for RetryMessage {
    fn from(wire: WireRetryMessage) -> Self {
        Self {
            history: wire.history.map(RetryHistory::from),
            is_query: wire.is_query,
            answer: wire.answer.map(|(history, reported_ago_ms)| KeptHistory {
                history: history.into(),
                reported_ago: Duration::from_millis(reported_ago_ms),
            }),
        }
    }
}

impl From<&RetryHistory> for WireHistory {
    fn from(history: &RetryHistory) -> Self {
        let encode = |period: &Period| WirePeriod {
            age_ms: u32::try_from(millis(period.age)).unwrap_or(u32::MAX),
            requests: period.requests,
            retries: period.retries,
        };
        let services = history.services.iter();
        Self(
            services
                .map(|(service, periods)| (*service, periods.iter().map(encode).collect()))
                .collect(),
        )
    }
}

impl From<WireHistory> for RetryHistory {
    fn from(wire: WireHistory) -> Self {
        let decode = |period: WirePeriod| Period {
            age: Duration::from_millis(u64::from(period.age_ms)),
            requests: period.requests,
            retries: period.retries,
        };
        let services = wire.0.into_iter();
        Self {
            services: services
                .map(|(service, periods)| (service, periods.into_iter().map(decode).collect()))
                .collect(),
        }
    }
}
