//! The daemon's part in its fleet: how many share each upstream, and what all of them together may take.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use finchshift::Micros;
use serde_json::{Value, json};
use sloeline_config::model::{Config, Fleet as Wanted, InstancePosition};
use sloeline_events::emit;
use sloeline_fleet::grants;
use sloeline_fleet::message::{Fact, Keys, MAX_NAME_BYTES, Name, Observation, State};
use sloeline_fleet::shell::{Fleet, FleetConfig};
use sloeline_fleet::swim;
use sloeline_operations::signed_call::Secret;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::control::secret_text;
use super::pools::Running;
use super::{Daemon, time};

/// How long a node is kept out by the word of others, while the own source is behind it. A source that is behind for longer
/// has its own rules for doubt; guards against a registry that was put back, whose numbers never come so far again.
const BEHIND: Duration = Duration::from_secs(60);
/// Periods that a start waits for somebody to answer.
const JOINED: Micros = 3;
/// A vote is lent for so many periods, a grant lasts so many.
const TERM: Micros = 10;
const GRANT: Micros = 2;
/// How fast what is wanted is learned, a look.
const LEARNED: f64 = 0.3;
/// What is asked for beyond what is wanted now, so that a rise is not refused until the next grant.
const AHEAD: f64 = 1.25;

/// What is known of a pool's share.
struct Share {
    asked: u64,
    at: Instant,
    /// Requests a second that callers want, learned.
    rate: f64,
}

/// The daemon's part.
pub(super) struct Part {
    fleet: Rc<Fleet>,
    /// Its place among all that share each upstream.
    seat: InstancePosition,
    shares: BTreeMap<String, Share>,
    /// What the own sources have said, by pool and source.
    said: BTreeMap<(String, String), Said>,
    /// Nodes that are kept out by the word of others, by pool, and since when.
    kept_out: BTreeMap<(String, String), Instant>,
    /// Those that orders were told of last.
    told_out: BTreeSet<(String, String)>,
}

/// How far a source has come, and whom it has ordered out.
struct Said {
    revision: u64,
    out: BTreeSet<String>,
}

impl Part {
    /// Hears the own sources, tells the others what is new of drains, and hears what they tell; whether other nodes are
    /// kept out now.
    fn drains(&mut self, pools: &BTreeMap<String, Running>) -> bool {
        let now = Instant::now();
        let mut kept_out = BTreeMap::new();
        for (pool, running) in pools {
            let known =
                |source: &str| self.said.get(&(pool.clone(), source.to_owned())).map(|said| said.revision);
            for (source, revision, out) in running.drains(known) {
                let before =
                    self.said.insert((pool.clone(), source.clone()), Said { revision, out: out.clone() });
                let before = before.map(|said| said.out).unwrap_or_default();
                let drained = out.difference(&before).map(|node| (node, true));
                let back = before.difference(&out).map(|node| (node, false));
                for (node, drains) in drained.chain(back) {
                    // Names that are too long to be said are nobody else's business.
                    if let (Some(pool), Some(node)) = (key(pool, &source), said_name(node)) {
                        self.fleet.record_fact(Fact {
                            pool,
                            node,
                            seen: Observation::Drain { revision, drains },
                        });
                    }
                }
            }
        }
        let sources = pools.iter().flat_map(|(pool, running)| running.registries().map(move |s| (pool, s)));
        for (pool, source) in sources {
            // One that has told nothing yet is behind everything: nobody may slip through with its first list.
            let revision = self.said.get(&(pool.clone(), source.to_owned())).map_or(0, |said| said.revision);
            let Some(key) = key(pool, source) else { continue };
            for node in self.fleet.draining_nodes(&key, revision) {
                let of = (pool.clone(), node.to_string());
                let since = self.kept_out.get(&of).copied().unwrap_or(now);
                kept_out.insert(of, since);
            }
        }
        self.kept_out = kept_out;
        let out: BTreeSet<(String, String)> = self.kept_out().collect();
        std::mem::replace(&mut self.told_out, out.clone()) != out
    }

    /// The nodes that are kept out by the word of others, by pool.
    pub(super) fn kept_out(&self) -> impl Iterator<Item = (String, String)> {
        let now = Instant::now();
        self.kept_out.iter().filter(move |(_, since)| now < **since + BEHIND).map(|(of, _)| of.clone())
    }

    /// Says that this instance leaves.
    pub(super) fn leave(&self) {
        self.fleet.leave();
    }
}

fn said_name(text: &str) -> Option<Name> {
    (1..=MAX_NAME_BYTES).contains(&text.len()).then(|| text.into())
}

/// What a source of a pool is known by to all.
fn key(pool: &str, source: &str) -> Option<Name> {
    said_name(&format!("{pool}/{source}"))
}

/// Reads the keys that a configuration names, the one that is signed with first.
fn keys(wanted: &Wanted, folder: &Path) -> Result<Keys, String> {
    let mut read = Vec::new();
    let others = wanted.keys.keys().filter(|name| **name != wanted.signing_key);
    for name in std::iter::once(&wanted.signing_key).chain(others) {
        let named = |why: String| format!("fleet.key.{name}: {why}");
        let file = wanted.keys.get(name).ok_or_else(|| named("no such key".to_owned()))?;
        let text = secret_text(&folder.join(file)).map_err(named)?;
        read.push((name.as_str(), Secret::read(&text).map_err(named)?.bytes().to_vec()));
    }
    Keys::new(read).ok_or_else(|| "fleet: no key".to_owned())
}

/// The limits that all instances share.
fn budgets(config: &Config, wanted: &Wanted) -> BTreeMap<Name, grants::Settings> {
    let shared = |(name, pool): (&String, &sloeline_config::model::Pool)| {
        let limit = pool.fleet_rate?;
        let settings = grants::Settings {
            limit,
            guaranteed: limit / 2,
            max_instances: wanted.max_instances,
            vote_term: TERM * wanted.probe_period,
            grant_duration: GRANT * wanted.probe_period,
        };
        Some((Name::from(name.as_str()), settings))
    };
    config.pools.iter().filter_map(shared).collect()
}

/// What is wrong with another configuration beside the one in force, if anything: these change with a restart.
pub(super) fn same(found: &Config, expected: &Config) -> Result<(), String> {
    let but_keys = |config: &Config| {
        config.fleet.clone().map(|fleet| Wanted {
            keys: BTreeMap::new(),
            signing_key: String::new(),
            ..fleet
        })
    };
    let rates = |config: &Config| -> Vec<(String, u64)> {
        config.pools.iter().filter_map(|(name, pool)| Some((name.clone(), pool.fleet_rate?))).collect()
    };
    if but_keys(found) != but_keys(expected) {
        return Err(
            "fleet: found another, expected the same but for its keys: it changes with a restart".to_owned()
        );
    }
    if rates(found) != rates(expected) {
        return Err("fleet_rate: found another, expected the same: it changes with a restart".to_owned());
    }
    Ok(())
}

impl Daemon {
    /// Joins the fleet, where the configuration names one.
    pub(super) async fn join(&mut self) -> Result<(), String> {
        let Some(wanted) = self.config.fleet.clone() else { return Ok(()) };
        let start = FleetConfig {
            name: self.config.instance.name.as_str().into(),
            zone: self.config.instance.zone.as_str().into(),
            bind: wanted.address,
            advertised: wanted.announced_address,
            seeds: wanted.seeds.clone(),
            keys: keys(&wanted, &self.folder)?,
            settings: swim::Settings {
                period: wanted.probe_period,
                ack_timeout: wanted.probe_period * 3 / 10,
                bytes_per_second: wanted.bytes_per_second as f64,
                ..swim::Settings::default()
            },
            budgets: budgets(&self.config, &wanted),
        };
        let fleet = Fleet::start(start).await.map_err(|e| format!("fleet: {}: {e}", wanted.address))?;
        let part = Part {
            fleet,
            seat: self.config.instance.position(),
            shares: BTreeMap::new(),
            said: BTreeMap::new(),
            kept_out: BTreeMap::new(),
            told_out: BTreeSet::new(),
        };
        // What others know of drains comes before the first request, if anybody is there to tell it.
        if !part.fleet.wait_joined(time(JOINED * wanted.probe_period)).await {
            emit!(FLEET_NO_PEERS; "fleet: nobody has answered yet; it goes on alone");
        }
        *self.part.borrow_mut() = Some(part);
        Ok(())
    }

    /// Takes other keys, where the configuration has others.
    pub(super) fn fleet_keys(&self) {
        let (part, Some(wanted)) = (self.part.borrow(), &self.config.fleet) else { return };
        let Some(part) = part.as_ref() else { return };
        match keys(wanted, &self.folder) {
            Ok(keys) => part.fleet.set_keys(keys),
            Err(why) => {
                emit!(CONFIG_RELOAD_REJECTED, why = %why; "sloeline: the fleet's keys are kept: {why}");
            }
        }
    }

    /// The fleet, if there is one.
    pub(super) fn fleet(&self) -> Option<Rc<Fleet>> {
        self.part.borrow().as_ref().map(|part| part.fleet.clone())
    }

    /// Rings when a list came.
    pub(super) fn lists(&self) -> Rc<Notify> {
        self.reserves.lists.clone()
    }

    /// When a node that is kept out by the word of others is so no longer.
    pub(super) fn kept_out_until(&self) -> Option<Instant> {
        let part = self.part.borrow();
        let part = part.as_ref()?;
        let now = Instant::now();
        part.kept_out.values().map(|since| *since + BEHIND).filter(|until| *until > now).min()
    }

    /// How many share each upstream: as many as are told, or as there were ever heard of and have not left, whichever is
    /// more. Guards cold upstreams: a count that is too high costs some of what they could take, one that is too low all.
    /// Its own number among them is its place by name: calls to cold upstreams come in turns by number, and instances of a
    /// fleet are seldom given numbers of their own.
    pub(super) fn seat(&self, config: &Config) -> InstancePosition {
        let own = config.instance.position();
        let part = self.part.borrow();
        let Some(fleet) = part.as_ref().map(|part| &part.fleet) else { return own };
        InstancePosition {
            count: own.count.max(fleet.instance_counts().1 as u32),
            number: fleet.rank() as u32,
        }
    }

    /// Nodes that are kept out by the word of other instances, by pool.
    pub(super) fn kept_out(&self) -> Vec<(String, String)> {
        self.part.borrow().as_ref().map(|part| part.kept_out().collect()).unwrap_or_default()
    }

    /// Hears what there is to hear before pools take requests.
    pub(super) fn hear_drains(&self) {
        if let Some(part) = self.part.borrow_mut().as_mut() {
            part.drains(&self.pools);
        }
    }

    /// Takes over how many there are, what is granted, and what others have seen.
    pub(super) fn share(&self) {
        let drains = self.part.borrow_mut().as_mut().is_some_and(|part| part.drains(&self.pools));
        if drains {
            self.carry_out();
        }
        let seat = self.seat(&self.config);
        let mut part = self.part.borrow_mut();
        let Some(part) = part.as_mut() else { return };
        if std::mem::replace(&mut part.seat, seat) != seat {
            self.pools.values().for_each(|running| running.reseat(seat));
        }
        for (name, running) in &self.pools {
            let pool = &running.pool;
            let Some(may) = part.fleet.allowance(name) else { continue };
            let (asked, now) = (pool.fleet_limit.offered(), Instant::now());
            let share = part.shares.entry(name.clone()).or_insert(Share { asked, at: now, rate: 0.0 });
            let span = now.duration_since(share.at).as_secs_f64();
            if span > 0.0 {
                let rate = (asked - share.asked.min(asked)) as f64 / span;
                share.rate += LEARNED * (rate - share.rate);
                (share.asked, share.at) = (asked, now);
            }
            part.fleet.set_demand(&name.as_str().into(), (AHEAD * share.rate).ceil() as u64 + 1);
            pool.fleet_limit.set(pool.engine.now(), None, Some(may as f64));
        }
    }

    /// The fleet, as this instance sees it.
    pub(super) fn fleet_told(&self) -> Result<Value, String> {
        let part = self.part.borrow();
        let part = part.as_ref().ok_or("there is no [fleet] in the configuration")?;
        let state = |state| match state {
            State::Alive => "alive",
            State::Suspect => "suspect",
            State::Dead => "dead",
            State::Left => "left",
        };
        let rows = part.fleet.members().into_iter().map(|row| {
            json!({
                "name": row.name.as_ref(),
                "address": row.address.to_string(),
                "zone": row.zone.as_ref(),
                "state": state(row.state),
                "for_s": row.since.as_secs(),
            })
        });
        let rows: Vec<Value> = rows.collect();
        let limits = part.shares.iter().map(|(name, share)| {
            json!({
                "pool": name,
                "of": self.config.pools.get(name).and_then(|pool| pool.fleet_rate),
                "may": part.fleet.allowance(name),
                "wants": share.rate.round(),
                "keeps": part.fleet.is_coordinator(name),
            })
        });
        let limits: Vec<Value> = limits.collect();
        let (alive, sending) = part.fleet.instance_counts();
        let (unheard, unsent) = part.fleet.datagram_losses();
        Ok(json!({
            "address": part.fleet.local_addr().to_string(),
            "alive": alive,
            "may_be_sending": sending,
            "counted": part.seat.count,
            "unheard": unheard,
            "unsent": unsent,
            "kept_out": part.kept_out().map(|(pool, node)| format!("{node} in {pool}")).collect::<Vec<_>>(),
            "instances": rows,
            "limits": limits,
        }))
    }
}
