//! What follows from a new version of the configuration in all roles of a controller, and what is told of it.

use serde::Serialize;

use super::Controller;
use super::config_watch::{ConfigurationRead, NewSettings};
use super::outbox::PendingRequest;
use crate::http::{CallResult, Response};
use crate::wire::budget::Urgency;

/// The answer to `GET /api/config`.
#[derive(Serialize)]
struct ConfigurationStatus<'a> {
    /// The version in force here; 0: the platform's settings alone.
    version: u64,
    /// The newest version that was seen, and why it is not in force if it cannot be used.
    newest: u64,
    refused: Option<&'a str>,
    /// It may be acted on now, and when it was last known to be the newest.
    fresh: bool,
    known_ms_ago: Option<u64>,
    nodes: Vec<NodeStatus<'a>>,
}

/// What a controller knows of another one.
#[derive(Serialize)]
struct NodeStatus<'a> {
    name: &'a str,
    /// It was heard within the last seconds.
    heard: bool,
    /// The version in force there; null where its release knows of none, or nothing was ever heard.
    version: Option<u64>,
}

impl Controller {
    /// Asks for what is to be read of the configuration, if anything.
    pub(super) fn send_configuration_read(&mut self) {
        let port = &mut self.outbox;
        if let Some((what, request)) = port.configuration.next_read(port.clock.now) {
            port.send_to_store(
                Urgency::Renewal,
                request,
                PendingRequest::Configuration(what),
            );
        }
    }

    pub(super) fn handle_configuration_answer(
        &mut self,
        what: ConfigurationRead,
        answer: CallResult,
    ) {
        let port = &mut self.outbox;
        let (running, now) = (port.settings.clone(), port.clock.now);
        if let Some(new) = port
            .configuration
            .handle_answer(what, answer, &running, now)
        {
            self.activate_settings(new);
        }
        self.send_configuration_read();
    }

    /// Puts settings in force in this process, in all of its roles at once.
    fn activate_settings(&mut self, new: NewSettings) {
        let NewSettings {
            settings,
            over_limit,
        } = new;
        let now = self.outbox.clock.now;
        self.outbox.settings = settings.clone();
        for holder in self.shard_owners.values_mut() {
            holder.cluster.apply_settings(&settings, over_limit, now);
            holder.update_start_hold(&self.outbox);
        }
        self.job_api.handle_new_configuration();
        self.membership.send_heartbeats_soon(now);
    }

    pub(super) fn show_configuration(&mut self, conn: u64) {
        let (port, standing) = (&self.outbox, &self.membership);
        let (configuring, now) = (&port.configuration, port.clock.now);
        let own = NodeStatus {
            name: &port.settings.name,
            heard: true,
            version: Some(configuring.version()),
        };
        let siblings = port
            .settings
            .siblings
            .iter()
            .enumerate()
            .map(|(i, s)| NodeStatus {
                name: &s.name,
                heard: standing.is_heard(port, i),
                version: standing.peers[i].configuration_version,
            });
        let told = ConfigurationStatus {
            version: configuring.version(),
            newest: configuring.newest_version(),
            refused: configuring.rejection(),
            fresh: configuring.is_fresh(now),
            known_ms_ago: configuring.age(now).map(|age| age / 1000),
            nodes: std::iter::once(own).chain(siblings).collect(),
        };
        let response = Response::json(200, &told);
        self.outbox.reply(conn, response);
    }
}
