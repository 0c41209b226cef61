"""All programs read replies through sessions that check their heads."""

import ast
from pathlib import Path

import boragespring

PACKAGE = Path(boragespring.__file__).parent
#: Creates the sessions of all others.
FACTORIES = {"http/client_session.py", "http/bounded_reply.py"}
#: Callers of the product that judge or show what it answers, as any client would.
CALLERS = ("bench/", "cli/demo.py", "faults/", "platform/emulator/", "platform/soak/")
UNCHECKED = {"ClientSession", "TCPConnector"}


def created_in(path):
    """Return which of the library's unchecked clients a module creates."""
    calls = (node for node in ast.walk(ast.parse(path.read_text())))
    functions = (node.func for node in calls if isinstance(node, ast.Call))
    names = (getattr(each, "attr", getattr(each, "id", "")) for each in functions)
    return UNCHECKED & set(names)


# Guards against a reader of answers whose heads nobody checks.
def test_no_program_reads_replies_unchecked():
    modules = {
        path.relative_to(PACKAGE).as_posix(): path for path in PACKAGE.rglob("*.py")
    }
    readers = {
        name
        for name, path in modules.items()
        if "/tests/" not in name
        and not name.startswith(CALLERS)
        and name not in FACTORIES
        and created_in(path)
    }
    assert not readers
