//! Questions to the owners of servers and prompt parts, and reports to them.
//!
//! In a large fleet each server and each prompt part has an owner among the routers, by rendezvous
//! hashing over those that are not silent. Routers report their load on a server to its owner when
//! it changes, and the use of a part to the part's owner. Before they choose a server, they ask the
//! owners of a few servers for the load of all routers, and the owner of the prompt's last shared
//! part where that is cached. An owner that does not answer in time is passed by: the router decides
//! by what it knows.

use {
    crate::gossip::{LoadAnswer, PermitAnswer, QueryNumber},
    baobab_origin::Lookup,
    baobab_place::{Load, Part, PartId, ServerKey},
    baobab_unit::HostId,
    std::{
        collections::{BTreeMap, HashMap},
        rc::Rc,
        time::Duration,
    },
    tokio::sync::Notify,
};

/// Time after the last change reported to an owner for which it gets full reports. They correct
/// its view if the last change was lost.
const FULL_REPORT_PERIOD: Duration = Duration::from_secs(3);

/// A question that waits for the answers of some owners.
#[derive(Debug)]
struct PendingQuery {
    parts: Vec<Part>,
    missing: Vec<HostId>,
    permit: Option<PermitAnswer>,
    stream: Option<Lookup>,
    answered: Rc<Notify>,
}

/// What has come of a question by the time it is closed.
#[derive(Debug, Default)]
pub struct QueryOutcome {
    /// Routers that have not answered.
    pub missing: Vec<HostId>,
    /// Answer on the permit that was asked for.
    pub permit: Option<PermitAnswer>,
    /// Answer on the stream that was asked for.
    pub stream: Option<Lookup>,
}

/// Loads on the servers of one owner, and uses of its prompt parts.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct OwnerReport {
    /// Loads of this router.
    pub loads: Vec<(ServerKey, Load)>,
    /// Prompt parts that this router has sent.
    pub parts: Vec<(ServerKey, Part)>,
}

/// Reports by owner.
pub type OwnerReports = BTreeMap<HostId, OwnerReport>;

/// Open questions, and the owners that have reports of this router.
#[derive(Debug, Default)]
pub struct Owners {
    last_number: QueryNumber,
    pending: HashMap<QueryNumber, PendingQuery>,
    reported_at: HashMap<HostId, Duration>,
}

impl Owners {
    /// Opens a question to some routers about a prompt with the shared `parts`. Returns its
    /// number, and a notification of the last answer.
    pub fn open(&mut self, parts: Vec<Part>, owners: Vec<HostId>) -> (QueryNumber, Rc<Notify>) {
        self.last_number = self.last_number.wrapping_add(1);
        let answered = Rc::new(Notify::new());
        let query = PendingQuery {
            parts,
            missing: owners,
            permit: None,
            stream: None,
            answered: Rc::clone(&answered),
        };
        self.pending.insert(self.last_number, query);
        (self.last_number, answered)
    }

    /// Closes a question; later answers to it are ignored.
    pub fn close(&mut self, number: QueryNumber) -> QueryOutcome {
        self.pending
            .remove(&number)
            .map(|query| QueryOutcome {
                missing: query.missing,
                permit: query.permit,
                stream: query.stream,
            })
            .unwrap_or_default()
    }

    /// Records an answer of a router. Returns the shared parts of the question's prompt, or none if the question
    /// is closed.
    pub fn on_answer(&mut self, host: HostId, answer: &LoadAnswer) -> Option<Vec<Part>> {
        let query = self.pending.get_mut(&answer.number)?;
        query.missing.retain(|missing| *missing != host);
        query.permit = query.permit.or(answer.permit);
        query.stream = query.stream.take().or_else(|| answer.stream.clone());
        if query.missing.is_empty() {
            query.answered.notify_one();
        }
        Some(query.parts.clone())
    }

    /// Adds the owners that a full report is due to, also if there is no load any more, and records
    /// which owners get reports now.
    pub fn complete(&mut self, reports: &mut OwnerReports, is_full: bool, now: Duration) {
        self.reported_at
            .retain(|_, at| now.saturating_sub(*at) <= FULL_REPORT_PERIOD);
        for host in reports.keys() {
            self.reported_at.insert(*host, now);
        }
        if is_full {
            for host in self.reported_at.keys() {
                reports.entry(*host).or_default();
            }
        }
    }
}

/// Groups loads by the owner of their server and parts by their owner. Those that this router owns
/// are left out.
pub fn group_by_owner(
    loads: Vec<(ServerKey, Load)>,
    parts: &[(ServerKey, Part)],
    server_owner: impl Fn(ServerKey) -> Option<HostId>,
    part_owner: impl Fn(PartId) -> Option<HostId>,
) -> OwnerReports {
    let mut reports = OwnerReports::new();
    for (server, load) in loads {
        if let Some(host) = server_owner(server) {
            reports.entry(host).or_default().loads.push((server, load));
        }
    }
    for (server, part) in parts {
        if let Some(host) = part_owner(part.id) {
            reports
                .entry(host)
                .or_default()
                .parts
                .push((*server, *part));
        }
    }
    reports
}
