//! Questions to the owners of servers, prompt parts and workspaces, their answers, and the wire format
//! of both.

use {
    super::message::{WireLoad, WireWorkspaceRates},
    baobab_limit::{Notice, Priority},
    baobab_origin::{Lookup, ServiceName, StreamKey},
    baobab_place::{Load, PartId, ServerKey, WorkspaceGroup, WorkspaceRates},
    baobab_unit::{WorkspaceId, millis},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Bit of the priority on the wire that is set if the server is cold. Routers of an earlier version read a
/// query with it as one of the lowest priority.
const COLD_FLAG: u8 = 0x80;

/// Asks a router for the load on servers that it owns, and where a prompt part that it owns is
/// cached.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadQuery {
    /// Number by which the answer is recognised.
    pub number: QueryNumber,
    /// The servers.
    pub servers: Vec<ServerKey>,
    /// Last shared part of the prompt that is to be placed.
    pub part: Option<PartId>,
    /// Permit that is asked for.
    pub permit: Option<PermitQuery>,
    /// Stream whose begin is asked for.
    pub stream: Option<StreamQuery>,
}

/// Asks the owner of the streams which version of a service began one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamQuery {
    /// Key of the stream; none if its caller does not name it.
    pub stream: Option<StreamKey>,
    /// The service.
    pub service: ServiceName,
}

/// Asks the owner of a server with a limit for the permit to send it one request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PermitQuery {
    /// The server.
    pub server: ServerKey,
    /// What the asking router knows of the limit.
    pub notice: Notice,
    /// Precedence of the request.
    pub priority: Priority,
    /// Whether the asking router takes the server for cold.
    pub is_cold: bool,
}

/// Answer to a [`PermitQuery`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitAnswer {
    /// One request may be sent at once.
    Granted,
    /// The limit leaves no request for this time.
    Refused(Duration),
}

/// Answer to a [`LoadQuery`].
#[derive(Debug, Clone, PartialEq)]
pub struct LoadAnswer {
    /// Number of the query.
    pub number: QueryNumber,
    /// The servers of the query.
    pub servers: Vec<ServerAnswer>,
    /// The engines that have the part cached, the last user first.
    pub holders: Vec<HolderAnswer>,
    /// Answer on the permit, if one was asked for.
    pub permit: Option<PermitAnswer>,
    /// Answer on the stream, if one was asked for.
    pub stream: Option<Lookup>,
    /// What is known of the limits of the query's servers.
    pub limits: Vec<(ServerKey, Notice)>,
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
    permit: Option<WirePermitQuery>,
    stream: Option<WireStreamQuery>,
}

#[derive(Debug, Serialize, Deserialize)]
struct WireStreamQuery {
    stream: Option<u64>,
    service: String,
}

#[derive(Debug, Serialize, Deserialize)]
enum WireStreamAnswer {
    Known { version: String },
    Unknown,
    NotRead,
}

#[derive(Debug, Serialize, Deserialize)]
struct WirePermitQuery {
    limit: WireLimit,
    priority: u8,
}

/// Wire format of a server's [`Notice`].
#[derive(Debug, Serialize, Deserialize)]
pub struct WireLimit {
    server: u32,
    version: u32,
    limit_per_s: Option<f64>,
}

#[derive(Debug, Serialize, Deserialize)]
enum WirePermitAnswer {
    Granted,
    Refused { wait_ms: u64 },
}

/// Wire format of [`LoadAnswer`].
#[derive(Debug, Serialize, Deserialize)]
pub struct WireLoadAnswer {
    number: u32,
    loads: Vec<WireLoad>,
    holders: Vec<WireHolder>,
    permit: Option<WirePermitAnswer>,
    limits: Vec<WireLimit>,
    stream: Option<WireStreamAnswer>,
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
            permit: query.permit.as_ref().map(WirePermitQuery::from),
            stream: query.stream.as_ref().map(WireStreamQuery::from),
        }
    }
}

impl From<WireLoadQuery> for LoadQuery {
    fn from(wire: WireLoadQuery) -> Self {
        Self {
            number: wire.number,
            servers: wire.servers,
            part: wire.part,
            permit: wire.permit.map(PermitQuery::from),
            stream: wire.stream.map(StreamQuery::from),
        }
    }
}

impl From<&LoadAnswer> for WireLoadAnswer {
    fn from(answer: &LoadAnswer) -> Self {
        Self {
            number: answer.number,
            loads: answer.servers.iter().map(WireLoad::from).collect(),
            holders: answer.holders.iter().map(WireHolder::from).collect(),
            permit: answer.permit.as_ref().map(WirePermitAnswer::from),
            limits: answer.limits.iter().map(WireLimit::from).collect(),
            stream: answer.stream.as_ref().map(WireStreamAnswer::from),
        }
    }
}

impl From<WireLoadAnswer> for LoadAnswer {
    fn from(wire: WireLoadAnswer) -> Self {
        Self {
            number: wire.number,
            servers: wire.loads.into_iter().map(ServerAnswer::from).collect(),
            holders: wire.holders.into_iter().map(HolderAnswer::from).collect(),
            permit: wire.permit.map(PermitAnswer::from),
            limits: wire.limits.into_iter().map(From::from).collect(),
            stream: wire.stream.map(Lookup::from),
        }
    }
}

impl From<&StreamQuery> for WireStreamQuery {
    fn from(query: &StreamQuery) -> Self {
        Self {
            stream: query.stream,
            service: query.service.clone(),
        }
    }
}

impl From<WireStreamQuery> for StreamQuery {
    fn from(wire: WireStreamQuery) -> Self {
        Self {
            stream: wire.stream,
            service: wire.service,
        }
    }
}

impl From<&Lookup> for WireStreamAnswer {
    fn from(lookup: &Lookup) -> Self {
        match lookup {
            Lookup::Known(version) => Self::Known {
                version: version.clone(),
            },
            Lookup::Unknown => Self::Unknown,
            Lookup::NotRead => Self::NotRead,
        }
    }
}

impl From<WireStreamAnswer> for Lookup {
    fn from(wire: WireStreamAnswer) -> Self {
        match wire {
            WireStreamAnswer::Known { version } => Self::Known(version),
            WireStreamAnswer::Unknown => Self::Unknown,
            WireStreamAnswer::NotRead => Self::NotRead,
        }
    }
}

impl From<&PermitQuery> for WirePermitQuery {
    fn from(query: &PermitQuery) -> Self {
        Self {
            limit: WireLimit::from(&(query.server, query.notice)),
            priority: query.priority as u8 | if query.is_cold { COLD_FLAG } else { 0 },
        }
    }
}

impl From<WirePermitQuery> for PermitQuery {
    fn from(wire: WirePermitQuery) -> Self {
        let (server, notice) = wire.limit.into();
        let priority = Priority::ALL.get(usize::from(wire.priority & !COLD_FLAG));
        Self {
            server,
            notice,
            priority: priority.copied().unwrap_or(Priority::Spare),
            is_cold: wire.priority & COLD_FLAG != 0,
        }
    }
}

impl From<&PermitAnswer> for WirePermitAnswer {
    fn from(answer: &PermitAnswer) -> Self {
        match answer {
            PermitAnswer::Granted => Self::Granted,
            PermitAnswer::Refused(wait) => Self::Refused {
                wait_ms: millis(*wait),
            },
        }
    }
}

impl From<WirePermitAnswer> for PermitAnswer {
    fn from(wire: WirePermitAnswer) -> Self {
        match wire {
            WirePermitAnswer::Granted => Self::Granted,
            WirePermitAnswer::Refused { wait_ms } => Self::Refused(Duration::from_millis(wait_ms)),
        }
    }
}

impl From<&(ServerKey, Notice)> for WireLimit {
    fn from((server, notice): &(ServerKey, Notice)) -> Self {
        Self {
            server: *server,
            version: notice.version,
            limit_per_s: notice.limit_per_s,
        }
    }
}

impl From<WireLimit> for (ServerKey, Notice) {
    fn from(wire: WireLimit) -> Self {
        let limit_per_s = wire
            .limit_per_s
            .filter(|limit| limit.is_finite() && *limit >= 0.0);
        let notice = Notice {
            version: wire.version,
            limit_per_s,
        };
        (wire.server, notice)
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
