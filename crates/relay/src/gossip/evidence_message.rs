//! Evidence against prompt parts in a gossip message, and its wire format.

use {
    baobab_place::PartId,
    baobab_quarantine::{Crash, Proof, Record, Stage},
    baobab_unit::{WorkspaceId, millis},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Evidence that a router reports to the others.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EvidenceMessage {
    /// Answers that broke off as they began.
    pub crashes: Vec<CrashReport>,
    /// Parts with which an answer went on.
    pub clearances: Vec<Clearance>,
    /// Quarantined parts.
    pub records: Vec<Record>,
}

impl EvidenceMessage {
    /// Whether the message reports nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.clearances.is_empty() && self.records.is_empty()
    }
}

/// An answer that broke off as it began.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashReport {
    /// The server, the request and its prompt parts.
    pub crash: Crash,
    /// Time since it broke off.
    pub age: Duration,
}

/// A prompt part that an answer has shown to be sound.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Clearance {
    /// The part.
    pub part: PartId,
    /// What the answer shows.
    pub proof: Proof,
    /// Time since it showed that.
    pub age: Duration,
}

/// Wire format of [`EvidenceMessage`].
#[derive(Debug, Serialize, Deserialize)]
pub struct WireEvidence {
    crashes: Vec<WireCrash>,
    clearances: Vec<WireClearance>,
    records: Vec<WireRecord>,
}

#[derive(Debug, Serialize, Deserialize)]
struct WireCrash {
    server: u32,
    request: u64,
    workspace: WorkspaceId,
    parts: Vec<u64>,
    content: Option<u64>,
    stage: WireStage,
    since_answer_ms: Option<u64>,
    age_ms: u64,
}

#[derive(Debug, Serialize, Deserialize)]
enum WireStage {
    Awaited,
    Begun,
    Continued,
}

#[derive(Debug, Serialize, Deserialize)]
struct WireClearance {
    part: u64,
    is_lasting: bool,
    age_ms: u64,
}

#[derive(Debug, Serialize, Deserialize)]
struct WireRecord {
    part: u64,
    common: Vec<u64>,
    workspaces: Vec<WorkspaceId>,
    age_ms: u64,
    remaining_ms: u64,
    idle_ms: u64,
    level: u32,
    needs_lasting: bool,
}

impl From<&EvidenceMessage> for WireEvidence {
    fn from(message: &EvidenceMessage) -> Self {
        Self {
            crashes: message.crashes.iter().map(WireCrash::from).collect(),
            clearances: message.clearances.iter().map(WireClearance::from).collect(),
            records: message.records.iter().map(WireRecord::from).collect(),
        }
    }
}

impl From<WireEvidence> for EvidenceMessage {
    fn from(wire: WireEvidence) -> Self {
        Self {
            crashes: wire.crashes.into_iter().map(CrashReport::from).collect(),
            clearances: wire.clearances.into_iter().map(Clearance::from).collect(),
            records: wire.records.into_iter().map(Record::from).collect(),
        }
    }
}

impl From<&CrashReport> for WireCrash {
    fn from(report: &CrashReport) -> Self {
        Self {
            server: report.crash.server,
            request: report.crash.request,
            workspace: report.crash.workspace,
            parts: report.crash.parts.clone(),
            content: report.crash.content,
            stage: report.crash.stage.into(),
            since_answer_ms: report.crash.since_answer.map(millis),
            age_ms: millis(report.age),
        }
    }
}

impl From<WireCrash> for CrashReport {
    fn from(wire: WireCrash) -> Self {
        Self {
            crash: Crash {
                server: wire.server,
                request: wire.request,
                workspace: wire.workspace,
                parts: wire.parts,
                content: wire.content,
                stage: wire.stage.into(),
                since_answer: wire.since_answer_ms.map(Duration::from_millis),
            },
            age: Duration::from_millis(wire.age_ms),
        }
    }
}

impl From<Stage> for WireStage {
    fn from(stage: Stage) -> Self {
        match stage {
            Stage::Awaited => Self::Awaited,
            Stage::Begun => Self::Begun,
            Stage::Continued => Self::Continued,
        }
    }
}

impl From<WireStage> for Stage {
    fn from(wire: WireStage) -> Self {
        match wire {
            WireStage::Awaited => Self::Awaited,
            WireStage::Begun => Self::Begun,
            WireStage::Continued => Self::Continued,
        }
    }
}

impl From<&Clearance> for WireClearance {
    fn from(clearance: &Clearance) -> Self {
        Self {
            part: clearance.part,
            is_lasting: clearance.proof == Proof::Lasting,
            age_ms: millis(clearance.age),
        }
    }
}

impl From<WireClearance> for Clearance {
    fn from(wire: WireClearance) -> Self {
        Self {
            part: wire.part,
            proof: if wire.is_lasting {
                Proof::Lasting
            } else {
                Proof::Begun
            },
            age: Duration::from_millis(wire.age_ms),
        }
    }
}

impl From<&Record> for WireRecord {
    fn from(record: &Record) -> Self {
        Self {
            part: record.part,
            common: record.common.iter().copied().collect(),
            workspaces: record.workspaces.iter().copied().collect(),
            age_ms: millis(record.age),
            remaining_ms: millis(record.remaining),
            idle_ms: millis(record.idle),
            level: record.level,
            needs_lasting: record.needs_lasting,
        }
    }
}

impl From<WireRecord> for Record {
    fn from(wire: WireRecord) -> Self {
        Self {
            part: wire.part,
            common: wire.common.into_iter().collect(),
            workspaces: wire.workspaces.into_iter().collect(),
            age: Duration::from_millis(wire.age_ms),
            remaining: Duration::from_millis(wire.remaining_ms),
            idle: Duration::from_millis(wire.idle_ms),
            level: wire.level,
            needs_lasting: wire.needs_lasting,
        }
    }
}
