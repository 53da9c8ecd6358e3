"""Settings of a small deployment, in the operators' XML."""

from __future__ import annotations

CLASSES = """
    <class name="consulta" aim="1s" stretch="2.0" deadline="5s" worth="1" semantics="idempotent" threads="1"/>
    <class name="informe" aim="2s" stretch="2.5" deadline="20s" worth="6" late-worth="0.4" semantics="idempotent" threads="1"/>
    <class name="carga" aim="3s" stretch="3.0" deadline="20s" worth="4" late-worth="0.5" semantics="at_most_once" serial-by-key="true" threads="1"/>"""

TEMPLATE = """<decklb version="1">
  <process name="{name}" listen="127.0.0.1:0" sockets="1024"/>
  <classes>{classes}
  </classes>
  <tenants><tenant name="cusco" share="70%"/><tenant name="ayacucho" share="30%"/></tenants>
  <kinds><kind name="nodo-a" cores="{cores}"/></kinds>
  <rules tick="5ms" balancers="1" max-attempts="4" cancelling="true" retry-after="500ms" cold="15s" cold-share="31%"
         drain-grace="2s" extra-floor="2" extra-share="10%" extra-window="5s" fall="1.5s" overload-factor="3"
         settle-after-doubt="300ms"/>
  <engines list="1">{engines}</engines>
  <postgres user="decklb" database="registro" connections="100" {postgres}>
    <defaults tenant="cusco" class="consulta"/>
  </postgres>
  {more}
</decklb>
"""


def engine_element(engine_id: str, address: tuple[str, int]) -> str:
    """Return the element of one engine."""
    return f'<engine id="{engine_id}" address="{address[0]}:{address[1]}" zone="sala-lima" kind="nodo-a" weight="8"/>'


def settings(
    name: str,
    engines: list[tuple[str, tuple[str, int]]],
    *,
    classes: str = CLASSES,
    postgres: str = 'writes="carga"',
    more: str = "",
    cores: int = 8,
) -> str:
    """Return the document."""
    elements = "".join(engine_element(*engine) for engine in engines)
    return TEMPLATE.format(name=name, classes=classes, engines=elements, postgres=postgres, more=more, cores=cores)
