//! Exchange of the workspaces' rates with the owners of their groups.

use {
    crate::{
        core::Core,
        gossip::{GossipMessage, Owned, RateAnswer},
    },
    baobab_place::{WorkspaceGroup, workspace_group, workspace_groups},
    baobab_unit::HostId,
    std::collections::BTreeMap,
};

/// Reports the rates of this router's workspaces to the owners of their groups, and asks the owners of
/// all groups for the rates at all other routers. Callers may come here from other routers, with a
/// standing that does not depend on when this router saw them first.
pub fn report_rates(core: &Core) {
    let now = core.now();
    let mut reports: BTreeMap<HostId, GossipMessage> = BTreeMap::new();
    let peer_directory = core.peer_directory.borrow();
    let mut placer = core.placer.borrow_mut();
    let owners: Vec<Option<HostId>> = workspace_groups()
        .map(|group| peer_directory.owner(Owned::Workspaces(group), now))
        .collect();
    for (group, owner) in workspace_groups().zip(&owners) {
        match owner {
            Some(host) => {
                let message = reports.entry(*host).or_default();
                message.report.replaces_rates = true;
                message.rate_queries.push(group);
            }
            None => placer.peers.forget_rate_answer(group),
        }
    }
    for (workspace, rates) in core.shares.borrow().rates() {
        let group = workspace_group(workspace);
        let owner = usize::try_from(group)
            .ok()
            .and_then(|index| owners.get(index));
        if let Some(Some(host)) = owner {
            let message = reports.entry(*host).or_default();
            message.report.rates.push((workspace, rates));
        }
    }
    for (host, message) in reports {
        if let Some(address) = peer_directory.address(host) {
            core.socket.send(&message, &[address], &core.metrics);
        }
    }
}

/// Answers a router's question for the rates of groups of workspaces.
pub fn on_rate_queries(core: &Core, host: HostId, groups: &[WorkspaceGroup]) {
    let Some(address) = core.peer_directory.borrow().address(host) else {
        return;
    };
    let own_rates = core.shares.borrow().rates();
    let placer = core.placer.borrow();
    let answer_for = |&group: &WorkspaceGroup| {
        let mut rates = placer.peers.rates_without(host, group);
        for (workspace, own) in &own_rates {
            if workspace_group(*workspace) == group {
                *rates.entry(*workspace).or_default() += *own;
            }
        }
        RateAnswer {
            group,
            rates: rates.into_iter().collect(),
        }
    };
    let message = GossipMessage {
        rate_answers: groups.iter().map(answer_for).collect(),
        ..GossipMessage::default()
    };
    core.socket.send(&message, &[address], &core.metrics);
}
