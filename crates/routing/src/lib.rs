//! The configuration in force: routes, services, workspaces and how long it may be relied on.

mod confirmation;
mod force;
mod model;
mod path;

pub use {
    confirmation::Confirmation,
    force::{Force, Standing},
    model::{
        Configuration, EngineTraits, Limits, Repeat, Route, RouteVersion, Service, ServiceName,
        Target, Workspace, least_objective,
    },
    path::find_route,
};
