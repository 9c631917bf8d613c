//! The names that a script has declared so far (members, groups, classes, zones), and fields that refer to them.

use sableloom_toml_diagnostics::{Located, Table, suggestion};

use crate::script::{Class, Group, Pick, Role};

pub(super) struct Declarations {
    pub(super) zones: Vec<String>,
    pub(super) balancers: usize,
    /// Whether the balancers are members of one fleet.
    pub(super) members: bool,
    pub(super) nodes: usize,
    pub(super) groups: Vec<Group>,
    pub(super) classes: Vec<Class>,
}

impl Declarations {
    pub(super) fn count(&self, role: Role) -> usize {
        match role {
            Role::Balancer => self.balancers,
            Role::Node => self.nodes,
        }
    }

    /// The role and index of a member by its name, such as `b3`.
    pub(super) fn member(&self, name: &str) -> Option<(Role, usize)> {
        let role = match name.chars().next()? {
            'b' => Role::Balancer,
            'n' => Role::Node,
            _ => return None,
        };
        let number: usize = name[1..].parse().ok()?;
        (1..=self.count(role)).contains(&number).then(|| (role, number - 1))
    }

    pub(super) fn group(&mut self, name: &str, role: Role, pick: Pick) -> usize {
        self.groups.push(Group { name: name.to_string(), role, pick });
        self.groups.len() - 1
    }

    /// The group that a field refers to: one of the script's, `all`, or a single member.
    pub(super) fn target(
        &mut self,
        table: &Table<'_>,
        name: &'static str,
        role: Role,
    ) -> Option<usize> {
        let expected = match role {
            Role::Balancer => "a group of balancers, `all`, or one of them as `b1`",
            Role::Node => "a group of nodes, `all`, or one of them as `n1`",
        };
        let found = table.required_string(name, expected)?;
        if found.value == "all" {
            return Some(self.group("all", role, Pick::All));
        }
        if let Some((of, member)) = self.member(&found.value).filter(|m| m.0 == role) {
            return Some(self.group(&found.value, of, Pick::Members(vec![member])));
        }
        let named = self.groups.iter().position(|g| g.name == found.value);
        match named {
            Some(i) if self.groups[i].role == role => Some(i),
            Some(_) => {
                let message = format!("{:?} is a group of the other side", found.value);
                table.report(&found, message, Some(format!("expected {expected}")));
                None
            }
            None => {
                let names: Vec<_> = self.groups.iter().map(|g| g.name.as_str()).collect();
                let help = format!("expected {expected}; {}", suggestion(&found.value, names));
                table.report(&found, format!("no group {:?}", found.value), Some(help));
                None
            }
        }
    }

    pub(super) fn class(&self, table: &Table<'_>) -> Option<usize> {
        let found = table.string("class")?;
        let at = self.classes.iter().position(|c| c.name == found.value);
        if at.is_none() {
            let names: Vec<_> = self.classes.iter().map(|c| c.name.as_str()).collect();
            let help = suggestion(&found.value, names);
            table.report(&found, format!("no class {:?}", found.value), Some(help));
        }
        at
    }

    pub(super) fn zone(&self, table: &Table<'_>, found: &Located<String>) -> Option<usize> {
        let at = self.zones.iter().position(|zone| *zone == found.value);
        if at.is_none() {
            let help = suggestion(&found.value, self.zones.iter().map(String::as_str));
            table.report(found, format!("no zone {:?}", found.value), Some(help));
        }
        at
    }
}
