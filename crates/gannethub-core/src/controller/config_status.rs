//! Applies a new configuration version to all parts of a controller, and serves the state of the configuration to
//! users.

use serde::Serialize;

use super::Controller;
use super::config_watch::{ConfigurationRead, NewSettings};
use crate::http::{CallResult, Response};
use crate::model::MILLISECOND;
use crate::wire::budget::Urgency;

/// The answer to `GET /api/config`.
#[derive(Serialize)]
struct ConfigurationStatus<'a> {
    /// Version in force in this controller. 0: only the platform settings.
    version: u64,
    /// Newest version seen in the state service.
    newest: u64,
    /// Why the newest version cannot be used, if it cannot.
    refused: Option<&'a str>,
    /// Whether the version in force may be acted on now.
    fresh: bool,
    /// Time in milliseconds since the newest known version was last confirmed to be the newest.
    known_ms_ago: Option<u64>,
    nodes: Vec<NodeStatus<'a>>,
}

/// Configuration state of one controller, as known to this one. The list includes this controller itself.
#[derive(Serialize)]
struct NodeStatus<'a> {
    name: &'a str,
    /// Whether a message of the controller arrived within the last few seconds.
    heard: bool,
    /// Version in force in that controller. Null if its release does not support configurations or no heartbeat of the
    /// controller ever arrived.
    version: Option<u64>,
}

impl Controller {
    /// Sends the next read for the configuration, if one is due.
    pub(super) fn send_configuration_read(&mut self) {
        let outbox = &mut self.outbox;
        if let Some((read, request)) = outbox.configuration.next_read(outbox.clock.now) {
            outbox.send_to_store(Urgency::Renewal, request, read);
        }
    }

    /// Handles the answer to a read for the configuration, and sends the next read if one is due.
    pub(super) fn handle_configuration_answer(
        &mut self,
        read: ConfigurationRead,
        answer: &CallResult,
    ) {
        let outbox = &mut self.outbox;
        let (running, now) = (outbox.settings.clone(), outbox.clock.now);
        let new_settings = outbox
            .configuration
            .handle_answer(read, answer, &running, now);
        if let Some(new_settings) = new_settings {
            self.activate_settings(new_settings);
        }
        self.send_configuration_read();
    }

    /// Puts settings in force in all parts of this process at once.
    fn activate_settings(&mut self, new_settings: NewSettings) {
        let NewSettings {
            settings,
            over_limit,
        } = new_settings;
        let now = self.outbox.clock.now;
        self.outbox.settings = settings.clone();
        for owner in self.shard_owners.values_mut() {
            owner.cluster.apply_settings(&settings, over_limit, now);
            owner.update_starts_paused(&self.outbox);
        }
        self.job_api.handle_new_configuration();
        self.membership.send_heartbeats_soon(now);
    }

    /// Answers `GET /api/config`.
    pub(super) fn answer_configuration(&mut self, connection: u64) {
        let (outbox, membership) = (&self.outbox, &self.membership);
        let (configuration, now) = (&outbox.configuration, outbox.clock.now);
        let own = NodeStatus {
            name: &outbox.settings.name,
            heard: true,
            version: Some(configuration.version()),
        };
        let peers = outbox.settings.peers.iter().enumerate();
        let peers = peers.map(|(peer, settings)| NodeStatus {
            name: &settings.name,
            heard: membership.is_reachable(outbox, peer),
            version: membership.peers[peer].configuration_version,
        });
        let status = ConfigurationStatus {
            version: configuration.version(),
            newest: configuration.newest_version(),
            refused: configuration.rejection(),
            fresh: configuration.is_fresh(now),
            known_ms_ago: configuration.age(now).map(|age| age / MILLISECOND),
            nodes: std::iter::once(own).chain(peers).collect(),
        };
        let response = Response::json(200, &status);
        self.outbox.reply(connection, response);
    }
}
