//! The daemon's part in its fleet: how many share each upstream, and what all of them together may take.

use std::collections::BTreeMap;
use std::path::Path;
use std::rc::Rc;

use finchshift::Micros;
use serde_json::{Value, json};
use sloeline_config::model::{Config, Fleet as Wanted};
use sloeline_fleet::grants;
use sloeline_fleet::message::{Keys, Name, State};
use sloeline_fleet::shell::{Fleet, Start};
use sloeline_fleet::swim;
use sloeline_operations::auth::Secret;
use tokio::time::Instant;

use super::Daemon;
use super::control::secret_text;

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
    /// As many as share each upstream.
    count: u32,
    shares: BTreeMap<String, Share>,
}

impl Part {
    /// Says that this instance leaves.
    pub(super) fn leave(&self) {
        self.fleet.leave();
    }
}

/// Reads the keys that a configuration names, the one that is signed with first.
fn keys(wanted: &Wanted, folder: &Path) -> Result<Keys, String> {
    let mut read = Vec::new();
    let others = wanted.keys.keys().filter(|name| **name != wanted.key);
    for name in std::iter::once(&wanted.key).chain(others) {
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
            shared: limit / 2,
            most: wanted.most,
            term: TERM * wanted.period,
            grant: GRANT * wanted.period,
        };
        Some((Name::from(name.as_str()), settings))
    };
    config.pools.iter().filter_map(shared).collect()
}

/// What is wrong with another configuration beside the one in force, if anything: these change with a restart.
pub(super) fn same(found: &Config, expected: &Config) -> Result<(), String> {
    let but_keys = |config: &Config| {
        config.fleet.clone().map(|fleet| Wanted { keys: BTreeMap::new(), key: String::new(), ..fleet })
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
        let start = Start {
            name: self.config.instance.name.as_str().into(),
            zone: self.config.instance.zone.as_str().into(),
            bind: wanted.address,
            announced: wanted.announced,
            seeds: wanted.seeds.clone(),
            keys: keys(&wanted, &self.folder)?,
            settings: swim::Settings {
                period: wanted.period,
                patience: wanted.period * 3 / 10,
                bytes: wanted.bytes as f64,
                ..swim::Settings::default()
            },
            budgets: budgets(&self.config, &wanted),
        };
        let fleet = Fleet::start(start).await.map_err(|e| format!("fleet: {}: {e}", wanted.address))?;
        let part = Part { fleet, count: self.config.instance.count, shares: BTreeMap::new() };
        *self.part.borrow_mut() = Some(part);
        self.share();
        Ok(())
    }

    /// Takes other keys, where the configuration has others.
    pub(super) fn fleet_keys(&self) {
        let (part, Some(wanted)) = (self.part.borrow(), &self.config.fleet) else { return };
        let Some(part) = part.as_ref() else { return };
        match keys(wanted, &self.folder) {
            Ok(keys) => part.fleet.set_keys(keys),
            Err(why) => {
                sloeline_events::tell!(CONFIG_KEPT, why = %why; "sloeline: the fleet's keys are kept: {why}");
            }
        }
    }

    /// The fleet, if there is one.
    pub(super) fn fleet(&self) -> Option<Rc<Fleet>> {
        self.part.borrow().as_ref().map(|part| part.fleet.clone())
    }

    /// How many share each upstream: as many as are told, or as there were ever heard of and have not left, whichever is
    /// more. Guards cold upstreams: a count that is too high costs some of what they could take, one that is too low all.
    pub(super) fn count(&self) -> u32 {
        self.part.borrow().as_ref().map_or(self.config.instance.count, |part| part.count)
    }

    /// Takes over how many there are, and what is granted.
    pub(super) fn share(&self) {
        let mut part = self.part.borrow_mut();
        let Some(part) = part.as_mut() else { return };
        let (_, sending) = part.fleet.count();
        let count = self.config.instance.count.max(sending as u32);
        if std::mem::replace(&mut part.count, count) != count {
            self.pools.values().for_each(|running| running.recount(count));
        }
        for (name, running) in &self.pools {
            let pool = &running.pool;
            let Some(may) = part.fleet.may(name) else { continue };
            let (asked, now) = (pool.fleet.asked(), Instant::now());
            let share = part.shares.entry(name.clone()).or_insert(Share { asked, at: now, rate: 0.0 });
            let span = now.duration_since(share.at).as_secs_f64();
            if span > 0.0 {
                let rate = (asked - share.asked.min(asked)) as f64 / span;
                share.rate += LEARNED * (rate - share.rate);
                (share.asked, share.at) = (asked, now);
            }
            part.fleet.wants(&name.as_str().into(), (AHEAD * share.rate).ceil() as u64 + 1);
            pool.fleet.set(pool.engine.now(), None, Some(may as f64));
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
        let rows = part.fleet.rows().into_iter().map(|row| {
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
                "may": part.fleet.may(name),
                "wants": share.rate.round(),
                "keeps": part.fleet.keeps(name),
            })
        });
        let limits: Vec<Value> = limits.collect();
        let (alive, sending) = part.fleet.count();
        let (unheard, unsent) = part.fleet.lost();
        Ok(json!({
            "address": part.fleet.at().to_string(),
            "alive": alive,
            "may_be_sending": sending,
            "counted": part.count,
            "unheard": unheard,
            "unsent": unsent,
            "instances": rows,
            "limits": limits,
        }))
    }
}
