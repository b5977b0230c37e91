//! What follows from a new version of the configuration in all parts of a controller, and what users are shown of it.

use serde::Serialize;

use super::Controller;
use super::config_watch::{ConfigurationRead, NewSettings};
use crate::http::{CallResult, Response};
use crate::model::MILLISECOND;
use crate::wire::budget::Urgency;

/// The answer to `GET /api/config`.
#[derive(Serialize)]
struct ConfigurationStatus<'a> {
    /// The version in force here; 0: the platform's settings alone.
    version: u64,
    /// The newest version that was seen in the state service, and why it is not in force if it cannot be used.
    newest: u64,
    refused: Option<&'a str>,
    /// Whether it may be acted on now, and how long ago it was last known to be the newest.
    fresh: bool,
    known_ms_ago: Option<u64>,
    nodes: Vec<NodeStatus<'a>>,
}

/// What this controller knows of one controller, itself among them.
#[derive(Serialize)]
struct NodeStatus<'a> {
    name: &'a str,
    /// Whether it was heard within the last seconds.
    heard: bool,
    /// The version in force there; null where its release knows of none, or nothing was ever heard.
    version: Option<u64>,
}

impl Controller {
    /// Sends what is to be read of the configuration, if anything is.
    pub(super) fn send_configuration_read(&mut self) {
        let outbox = &mut self.outbox;
        if let Some((read, request)) = outbox.configuration.next_read(outbox.clock.now) {
            outbox.send_to_store(Urgency::Renewal, request, read);
        }
    }

    /// Takes in what was read of the configuration, and reads on if there is more.
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

    /// Puts settings in force in this process, in all of its parts at once.
    fn activate_settings(&mut self, new_settings: NewSettings) {
        let NewSettings {
            settings,
            over_limit,
        } = new_settings;
        let now = self.outbox.clock.now;
        self.outbox.settings = settings.clone();
        for owner in self.shard_owners.values_mut() {
            owner.cluster.apply_settings(&settings, over_limit, now);
            owner.update_start_hold(&self.outbox);
        }
        self.job_api.handle_new_configuration();
        self.membership.send_heartbeats_soon(now);
    }

    /// Answers `GET /api/config`.
    pub(super) fn show_configuration(&mut self, connection: u64) {
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
            heard: membership.is_heard(outbox, peer),
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
