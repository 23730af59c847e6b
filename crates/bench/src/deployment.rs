//! The settings of a daemon, rendered from the deployment's template as the platform does.

/// Returns the text of `template` with `bound` in place of each of the platform's bounds, and with
/// addresses on the loopback interface. `None` if the template has a placeholder that the platform
/// does not define.
///
/// ```
/// use hornbeamloom_bench::deployment::render;
///
/// let text = render("vm: {{node_name}}\nlimit: {{bounds.grace_period_s}}\n", "8.5");
/// assert_eq!(text.as_deref(), Some("vm: edge-a-1\nlimit: 8.5\n"));
/// assert_eq!(render("{{colour}}", "8"), None);
/// ```
pub fn render(template: &str, bound: &str) -> Option<String> {
    render_parts(template, bound, false)
}

/// As [`render`], with the sections `{{#NAME}} ... {{/NAME}}`, which the platform renders only where
/// it defines NAME.
///
/// ```
/// use hornbeamloom_bench::deployment::{render, render_with_sections};
///
/// let template = "a: 1\n{{#bounds.canary_share}}b: {{bounds.canary_share}}\n{{/bounds.canary_share}}";
/// assert_eq!(render(template, "8").as_deref(), Some("a: 1\n"));
/// assert_eq!(render_with_sections(template, "8").as_deref(), Some("a: 1\nb: 0.1\n"));
/// ```
pub fn render_with_sections(template: &str, bound: &str) -> Option<String> {
    render_parts(template, bound, true)
}

fn render_parts(template: &str, bound: &str, has_sections: bool) -> Option<String> {
    let mut text = String::new();
    let mut rest = template;
    while let Some((literal, tail)) = rest.split_once("{{") {
        let (name, tail) = tail.split_once("}}")?;
        text.push_str(literal);
        if let Some(section) = name.strip_prefix('#') {
            let (inner, after) = tail.split_once(&format!("{{{{/{section}}}}}"))?;
            if has_sections {
                text.push_str(&render_parts(inner, bound, true)?);
            }
            rest = after;
            continue;
        }
        text.push_str(match name {
            "node_name" => "edge-a-1",
            "zone" => "a",
            "ip" => "127.0.0.1",
            "port_range.0" => "7200",
            "listen.frontend" => "127.0.0.1:8740",
            "listen.control_plane" => "127.0.0.1:8748",
            "listen.readiness" => "127.0.0.1:8749",
            "platform.address" => "127.0.0.1:8742",
            "seed_nodes|json" => r#"["127.0.0.1:8748"]"#,
            "zones|json" => r#"{"a": "region"}"#,
            // A fraction of requests, and not a number of seconds or requests like the others.
            "bounds.retry_budget_ratio" => "0.2",
            "bounds.canary_share" => "0.1",
            name if name.starts_with("bounds.") => bound,
            _ => return None,
        });
        rest = tail;
    }
    text.push_str(rest);
    Some(text)
}
