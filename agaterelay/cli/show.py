"""``agaterelay show``: prints the document, a section or a change."""

from __future__ import annotations

from typing import Annotated

import attrs
import cappa

from agaterelay.cli.api import fetch_body
from agaterelay.cli.options import AsJson, NodeAddress
from agaterelay.cli.outcome import CommandError, Exit, print_result
from agaterelay.cli.wait import summarize_in_force


def run_show_document(command: ShowDocument) -> None:
    """Print the document in force in a form that can be edited and applied."""
    document = fetch_body(command.node, "/v1/document")
    header = f"# agaterelay revision {document['revision']}\n"
    text = "---\n".join(item["text"] for item in document["sections"])
    print_result(document, command.json, [header + text.rstrip("\n")])


@cappa.command(name="document", invoke=run_show_document, help="The document in force.")
@attrs.define
class ShowDocument:
    """The arguments of ``show document``."""

    node: NodeAddress
    json: AsJson = False


def run_show_section(command: ShowSection) -> None:
    """Print one section in force in a form that can be edited and applied."""
    document = fetch_body(command.node, "/v1/document")
    for item in document["sections"]:
        if item["name"] == command.name:
            header = f"# agaterelay revision {document['revision']}\n"
            print_result(item, command.json, [header + item["text"].rstrip("\n")])
            return
    raise CommandError(Exit.NOT_FOUND, f"there is no section {command.name!r}")


@cappa.command(name="section", invoke=run_show_section, help="One section in force.")
@attrs.define
class ShowSection:
    """The arguments of ``show section``."""

    name: Annotated[str, cappa.Arg(help="The section's name.")]
    node: NodeAddress
    json: AsJson = False


def run_show_change(command: ShowChange) -> None:
    """Print one change and whether it is in force everywhere."""
    record = fetch_body(command.node, f"/v1/changes/{command.change_id}")
    state = summarize_in_force(
        fetch_body(command.node, "/v1/status"), record["revision"]
    )
    verdict = "done" if state.everywhere else "in progress"
    target = f"section {record['section']}" if record["section"] else record["note"]
    lines = [
        f"change {record['change_id']}: {verdict}",
        f"  {target}, revision {record['revision']}, at {record['committed_at']}",
        f"  {state}",
    ]
    value = {**record, "state": verdict, "in_force": attrs.asdict(state)}
    print_result(value, command.json, lines)


@cappa.command(
    name="change",
    invoke=run_show_change,
    help="One change and the nodes that serve it.",
)
@attrs.define
class ShowChange:
    """The arguments of ``show change``."""

    change_id: Annotated[str, cappa.Arg(help="The change id that apply printed.")]
    node: NodeAddress
    json: AsJson = False


@cappa.command(name="show", help="Show the document, a section, or a change.")
@attrs.define
class Show:
    """The arguments of ``show``."""

    what: cappa.Subcommands[ShowDocument | ShowSection | ShowChange]
