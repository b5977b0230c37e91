//! Injects the faults of a run: kills of processes, and outages and refusals of the state service.

use super::*;

impl Driver {
    pub(super) async fn inject_fault(&mut self, fault: &Fault) -> Result<(), RunError> {
        let now = self.clock.now();
        let ends_at = now + (fault.for_s * 1e6) as u64;
        let description = match fault.kind {
            FaultKind::Rack => self.end_rack().await,
            FaultKind::Zone => {
                self.send_to_hosts(&ToHosts::EndZone(zone_name(0)));
                format!("all workers of {} end", zone_name(0))
            }
            FaultKind::Leader => {
                let leader = self.leader().await;
                self.kill_controllers(
                    leader
                        .iter()
                        .filter_map(|name| controller_index(name))
                        .collect(),
                )
                .await
            }
            FaultKind::Half => {
                let half = self.controllers.len().div_ceil(2);
                self.kill_controllers((0..half).collect()).await
            }
            FaultKind::Outage => {
                self.state.send(&ToState::Outage(true));
                self.scheduled
                    .entry(ends_at)
                    .or_default()
                    .push(ScheduledAction::EndOutage);
                format!(
                    "the state service refuses all requests for {} s",
                    fault.for_s
                )
            }
            FaultKind::RefuseLeader => {
                let leader = self.leader().await;
                let node = leader.as_deref().and_then(controller_index);
                self.state.send(&ToState::Refuse(node));
                self.scheduled
                    .entry(ends_at)
                    .or_default()
                    .push(ScheduledAction::EndRefusal);
                format!(
                    "the state service refuses only the requests of {leader:?} for {} s",
                    fault.for_s
                )
            }
        };
        self.faults
            .push(format!("{:.1} s: {description}", now as f64 / 1e6));
        Ok(())
    }

    pub(super) async fn end_rack(&mut self) -> String {
        let Some(rack) = self
            .hosts
            .iter_mut()
            .find(|h| h.kind == HostKind::Rack && !h.ended)
        else {
            return "no rack is left".into();
        };
        rack.child_process.kill().await;
        rack.ended = true;
        let (at, hosts) = (self.clock.now(), std::mem::take(&mut rack.hosts));
        for host in &hosts {
            let gone = self.record.borrow_mut().host_ended(host, at);
            gone.iter().for_each(|event| self.on_gang_event(event));
        }
        let count = hosts.len();
        self.cloud
            .send(&ToCloud::Failed(hosts.into_iter().collect()));
        format!("a process with {count} hollow workers is killed")
    }

    pub(super) async fn kill_controllers(&mut self, nodes: Vec<usize>) -> String {
        let restart_at = self.clock.now() + RESTART_DELAY;
        for node in &nodes {
            self.controllers[*node].kill().await;
            self.scheduled
                .entry(restart_at)
                .or_default()
                .push(ScheduledAction::StartController(*node));
        }
        format!(
            "controllers {nodes:?} are killed, and started again after {} s",
            RESTART_DELAY / MICROS_PER_SECOND
        )
    }

    /// Returns the name of the leader according to the leader lease record in the state service.
    pub(super) async fn leader(&self) -> Option<String> {
        let client = Client::new(state_role::address(
            self.options.controllers,
            self.ports.state,
        ));
        let path = "/kv/gh/lead/holder";
        let answer = client.call(Method::Get, path, b"", RESPONSE_TIMEOUT).await;
        let body: serde_json::Value = decode_ok(&answer)?;
        Some(body["v"]["holder"].as_str()?.to_string())
    }
}
