//! Questions to the owners of servers, prompt parts and workspaces, their answers, and the wire format
//! of both.

use {
    super::message::{WireLoad, WireWorkspaceRates},
    baobab_place::{Load, PartId, ServerKey, WorkspaceGroup, WorkspaceRates},
    baobab_unit::{WorkspaceId, millis},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Asks a router for the load on servers that it owns, and where a prompt part that it owns is
/// cached.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadQuery {
    /// Number by which the answer is recognised.
    pub number: QueryNumber,
    /// The servers.
    pub servers: Vec<ServerKey>,
    /// Last shared part of the prompt that is to be placed.
    pub part: Option<PartId>,
}

/// Answer to a [`LoadQuery`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadAnswer {
    /// Number of the query.
    pub number: QueryNumber,
    /// The servers of the query.
    pub servers: Vec<ServerAnswer>,
    /// The engines that have the part cached, the last user first.
    pub holders: Vec<HolderAnswer>,
}

/// An engine that has the part of a query cached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HolderAnswer {
    /// The engine.
    pub server: ServerKey,
    /// Time since the part's last use.
    pub age: Duration,
}

/// What the owner of a server knows about it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerAnswer {
    /// The server.
    pub server: ServerKey,
    /// Load from all routers but the one that asked.
    pub load: Load,
}

/// Rates of a group's workspaces from all routers but the one that reported its own.
#[derive(Debug, Clone, PartialEq)]
pub struct RateAnswer {
    /// The group.
    pub group: WorkspaceGroup,
    /// Rates by workspace.
    pub rates: Vec<(WorkspaceId, WorkspaceRates)>,
}

/// Number of a query within one run of a router.
pub type QueryNumber = u32;

/// Wire format of [`RateAnswer`].
#[derive(Debug, Serialize, Deserialize)]
pub struct WireRateAnswer {
    group: u32,
    claims: Vec<WireWorkspaceRates>,
}

/// Wire format of [`LoadQuery`].
#[derive(Debug, Serialize, Deserialize)]
pub struct WireLoadQuery {
    number: u32,
    servers: Vec<u32>,
    part: Option<u64>,
}

/// Wire format of [`LoadAnswer`].
#[derive(Debug, Serialize, Deserialize)]
pub struct WireLoadAnswer {
    number: u32,
    loads: Vec<WireLoad>,
    holders: Vec<WireHolder>,
}

/// Wire format of [`HolderAnswer`].
#[derive(Debug, Serialize, Deserialize)]
pub struct WireHolder {
    server: u32,
    age_ms: u64,
}

impl From<&RateAnswer> for WireRateAnswer {
    fn from(answer: &RateAnswer) -> Self {
        Self {
            group: answer.group,
            claims: answer.rates.iter().map(WireWorkspaceRates::from).collect(),
        }
    }
}

impl From<WireRateAnswer> for RateAnswer {
    fn from(wire: WireRateAnswer) -> Self {
        Self {
            group: wire.group,
            rates: wire.claims.into_iter().map(From::from).collect(),
        }
    }
}

impl From<&LoadQuery> for WireLoadQuery {
    fn from(query: &LoadQuery) -> Self {
        Self {
            number: query.number,
            servers: query.servers.clone(),
            part: query.part,
        }
    }
}

impl From<WireLoadQuery> for LoadQuery {
    fn from(wire: WireLoadQuery) -> Self {
        Self {
            number: wire.number,
            servers: wire.servers,
            part: wire.part,
        }
    }
}

impl From<&LoadAnswer> for WireLoadAnswer {
    fn from(answer: &LoadAnswer) -> Self {
        Self {
            number: answer.number,
            loads: answer.servers.iter().map(WireLoad::from).collect(),
            holders: answer.holders.iter().map(WireHolder::from).collect(),
        }
    }
}

impl From<WireLoadAnswer> for LoadAnswer {
    fn from(wire: WireLoadAnswer) -> Self {
        Self {
            number: wire.number,
            servers: wire.loads.into_iter().map(ServerAnswer::from).collect(),
            holders: wire.holders.into_iter().map(HolderAnswer::from).collect(),
        }
    }
}

impl From<&ServerAnswer> for WireLoad {
    fn from(answer: &ServerAnswer) -> Self {
        Self::from(&(answer.server, answer.load))
    }
}

impl From<WireLoad> for ServerAnswer {
    fn from(wire: WireLoad) -> Self {
        let (server, load) = wire.into();
        Self { server, load }
    }
}

impl From<&HolderAnswer> for WireHolder {
    fn from(holder: &HolderAnswer) -> Self {
        Self {
            server: holder.server,
            age_ms: millis(holder.age),
        }
    }
}

impl From<WireHolder> for HolderAnswer {
    fn from(wire: WireHolder) -> Self {
        Self {
            server: wire.server,
            age: Duration::from_millis(wire.age_ms),
        }
    }
}
