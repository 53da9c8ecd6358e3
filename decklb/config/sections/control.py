"""The section `control`: the Unix socket over which operators query and command a process."""

from __future__ import annotations

from decklb.config.document import SettingsDocument

MAX_SOCKET_PATH_BYTES = 100  # sockaddr_un holds 108 bytes


def read_control(document: SettingsDocument) -> str:
    """Return the absolute path of the socket; "" if there is no section.

    A relative path starts at the folder of the settings file. A path that is too long is a fault.
    """
    element = document.root.find("control")
    if element is None:
        return ""
    path = document.resolve_path(element.attrib["socket"])
    path_bytes = len(path.encode())
    if path_bytes > MAX_SOCKET_PATH_BYTES:
        document.add_fault(
            element,
            f"<control>: the path has {path_bytes} bytes; at most {MAX_SOCKET_PATH_BYTES} would be right",
        )
    return path
