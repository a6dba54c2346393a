//! Operations as they behave: each answer held against the description, classes narrowed by evidence.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use hyper::header::{CONTENT_TYPE, HeaderName, LOCATION};
use sloeline_config::descriptions::DescriptionLoader;
use sloeline_config::model::{Config, RouteOperation};
use sloeline_descriptions::behaviour::{self, Behaviour, DEVIATIONS};
use sloeline_descriptions::folder::Folder;
use sloeline_descriptions::refs::Files;
use sloeline_engine::clock::Clock;
use sloeline_events::emit;
use sloeline_http::routed::{ObservedResponse, Operation};

/// Most lines of a summary.
const MOST_LINES: usize = 50;

/// The folder of a configuration.
pub struct Beside(pub PathBuf);

impl DescriptionLoader for Beside {
    fn open(&self, path: &str) -> Result<(Box<dyn Files>, String), String> {
        let file = self.0.join(path);
        let name = file.file_name().and_then(|n| n.to_str()).map(str::to_owned);
        let name = name.ok_or_else(|| format!("{path}: no name of a file"))?;
        let folder = file.parent().unwrap_or(Path::new("."));
        let folder = if folder.as_os_str().is_empty() { Path::new(".") } else { folder };
        Ok((Box::new(Folder::new(folder)?), name))
    }
}

/// An operation of the configuration in force.
pub struct Observed {
    number: u64,
    name: String,
    clock: Clock,
    behaviour: RefCell<Behaviour>,
    /// Shared with what it was under earlier descriptions that said the same of repeats: evidence against one holds for all.
    narrowed: Rc<Cell<bool>>,
}

impl Operation for Observed {
    fn id(&self) -> u64 {
        self.number
    }

    fn is_narrowed(&self) -> bool {
        self.narrowed.get()
    }

    fn observe(&self, seen: &ObservedResponse<'_>) -> bool {
        let text = |name: HeaderName| seen.headers.get(name).and_then(|v| v.to_str().ok());
        let seen = behaviour::ObservedResponse {
            key: seen.key,
            status: seen.status.as_u16(),
            content_type: text(CONTENT_TYPE),
            location: text(LOCATION),
            took: seen.elapsed,
        };
        let odd = self.behaviour.borrow_mut().record_response(self.clock.now(), &seen);
        let mut narrows = false;
        for (oddity, first) in odd {
            let now = oddity.proves_unsafe() && !self.narrowed.replace(true);
            narrows |= now;
            if now || first {
                let name = &self.name;
                let (code, what) = (oddity.number(), oddity.what());
                let from = if now { "; it is unsafe from now on" } else { "" };
                emit!(
                    OPERATION_MISMATCH, operation = %name, code = %code;
                    "operation {name:?}: {code}: {what} (status {}){from}", seen.status
                );
            }
        }
        narrows
    }
}

/// All operations of the configuration in force.
#[derive(Default)]
pub struct Operations {
    of: HashMap<String, Rc<Observed>>,
    next: u64,
    /// Requests that no route was found for.
    pub strangers: Rc<Cell<u64>>,
}

impl Operations {
    /// The operations of another configuration; nothing is changed. What was learned of one holds as long as what its
    /// description says of repeats.
    pub fn plan(&self, config: &Config, seed: u64) -> Operations {
        let mut next = self.next;
        let mut of = HashMap::new();
        for RouteOperation { name, declared, .. } in config.routes.iter().filter_map(|r| r.operation.as_ref())
        {
            let before = self.of.get(name);
            let observed = match before {
                Some(before) if before.behaviour.borrow().declared() == declared => before.clone(),
                _ => {
                    let same = before.filter(|b| b.behaviour.borrow().declared().effect == declared.effect);
                    let number = same.map_or_else(
                        || {
                            next += 1;
                            next
                        },
                        |b| b.number,
                    );
                    Rc::new(Observed {
                        number,
                        name: name.clone(),
                        clock: Clock::new(),
                        behaviour: RefCell::new(Behaviour::new(declared.clone(), seed ^ number)),
                        narrowed: same.map(|b| b.narrowed.clone()).unwrap_or_default(),
                    })
                }
            };
            of.insert(name.clone(), observed);
        }
        Operations { of, next, strangers: self.strangers.clone() }
    }

    /// One of them.
    pub fn get(&self, name: &str) -> Option<Rc<Observed>> {
        self.of.get(name).cloned()
    }

    /// What was found, one line for each operation that was found odd, the oddest first.
    pub fn summary(&self) -> Vec<String> {
        let mut odd: Vec<(u64, &Observed)> = self
            .of
            .values()
            .map(|o| (o.behaviour.borrow().counts().2.iter().sum(), o.as_ref()))
            .filter(|(found, o)| *found > 0 || o.narrowed.get())
            .collect();
        odd.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.name.cmp(&b.1.name)));
        let mut lines: Vec<String> = odd.iter().take(MOST_LINES).map(|(_, o)| line(o)).collect();
        if odd.len() > MOST_LINES {
            lines.push(format!("operations: {} more were found odd", odd.len() - MOST_LINES));
        }
        if self.strangers.get() > 0 && !self.of.is_empty() {
            lines.push(format!("operations: {} requests were of none", self.strangers.get()));
        }
        lines
    }
}

fn line(of: &Observed) -> String {
    let (answers, compared, counts) = of.behaviour.borrow().counts();
    let found = DEVIATIONS.iter().zip(counts).filter(|(_, count)| *count > 0);
    let found: Vec<String> =
        found.map(|(oddity, count)| format!("{} {count} times", oddity.number())).collect();
    let narrowed = if of.narrowed.get() { ", narrowed to unsafe" } else { "" };
    let name = &of.name;
    format!("operation {name:?}: {answers} answers, {compared} compared: {}{narrowed}", found.join(", "))
}
