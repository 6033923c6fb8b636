//! The configuration in force: routes, services, workspaces and how long it may be relied on.

mod active_configuration;
mod confirmation;
mod model;
mod path;

pub use {
    active_configuration::{ActiveConfiguration, ConfirmationState},
    confirmation::Confirmation,
    model::{
        Configuration, ConfigurationVersion, EngineCapabilities, Limits, RetrySafety, Route,
        Service, ServiceName, Target, Workspace, min_objective,
    },
    path::find_route,
};
