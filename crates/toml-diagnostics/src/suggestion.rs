//! Suggestions for misspelt names.

/// Number of known names that [`suggestion`] lists at most.
const MAX_LISTED_NAMES: usize = 20;

/// The name that is most likely meant by a misspelt one: at most one edit in three characters away.
pub fn closest_name<'n>(name: &str, names: impl IntoIterator<Item = &'n str>) -> Option<&'n str> {
    let max_distance = (name.chars().count() / 3).max(1);
    names
        .into_iter()
        .map(|other| (strsim::damerau_levenshtein(name, other), other))
        .filter(|(distance, _)| *distance <= max_distance)
        .min()
        .map(|(_, other)| other)
}

/// A help text for a name that is none of the known ones: the closest of them, or all of them.
pub fn suggestion<'n>(name: &str, names: impl IntoIterator<Item = &'n str> + Clone) -> String {
    if let Some(close) = closest_name(name, names.clone()) {
        return format!("did you mean `{close}`?");
    }
    let known: Vec<_> = names.into_iter().take(MAX_LISTED_NAMES).collect();
    match known.is_empty() {
        true => "there is none".to_string(),
        false => format!("known are: {}", known.join(", ")),
    }
}
