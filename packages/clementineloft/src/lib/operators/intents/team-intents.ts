/**
 * Requests about teams and their terms.
 */
import { createError, ErrorKind } from '@clementineloft/kernel'
import { computeWeight } from '../config-document.js'
import type { ConfigDocument, TeamTerms } from '../config-document.js'
import { Intent, registerIntent } from './intent.js'
import type { IntentResult } from './intent.js'

const classes: ReadonlyArray<TeamTerms['class']> = ['paying', 'late', 'unpaid']

const findTeam = (document: ConfigDocument, name: string): TeamTerms => {
  const team = document.teams[name]
  if (team === undefined) throw createError(ErrorKind.notFound, `team "${name}" does not exist`)
  return team
}

/** Tells what a change of terms means for a team and for the others. */
const describeChange = (document: ConfigDocument, name: string, before: TeamTerms): string[] => {
  const after = findTeam(document, name)
  const computeShare = (terms: TeamTerms): string => {
    const others = Object.entries(document.teams).filter(([other]) => other !== name)
    const total = others.reduce((sum, [, team]) => sum + computeWeight(team), computeWeight(terms))
    return `${(100 * computeWeight(terms) / total).toFixed(2)}%`
  }
  return [
    `team "${name}": class ${before.class} to ${after.class}, weight ${before.weight} to ${after.weight}`,
    `its share when every team has work: ${computeShare(before)} to ${computeShare(after)}`,
    'applies to requests that already wait'
  ]
}

/** Moves a team between classes. */
class MoveTeam extends Intent {
  override readonly form = 'move team NAME up|down|to CLASS'
  override readonly pattern = /^move team (\S+) (up|down|to (paying|late|unpaid))$/

  override plan (document: ConfigDocument, [name = '', direction, target]: string[]): IntentResult {
    const team = findTeam(document, name)
    const before = { ...team }
    const step = direction === 'up' ? -1 : 1
    const moved = target as TeamTerms['class'] | undefined ?? classes[classes.indexOf(team.class) + step]
    if (moved === undefined) throw createError(ErrorKind.badRequest, `team "${name}" cannot move ${direction} from class "${team.class}"`)
    team.class = moved
    return { document, summary: describeChange(document, name, before) }
  }
}

/** Changes a team's weight within its class. */
class SetWeight extends Intent {
  override readonly form = 'set weight of team NAME to NUMBER'
  override readonly pattern = /^set weight of team (\S+) to (\d+(?:\.\d+)?)$/

  override plan (document: ConfigDocument, [name = '', weight]: string[]): IntentResult {
    const team = findTeam(document, name)
    const before = { ...team }
    team.weight = Number(weight)
    return { document, summary: describeChange(document, name, before) }
  }
}

/** Limits how many requests of a team run at once at each entry. */
class SetLimit extends Intent {
  override readonly form = 'limit team NAME to NUMBER in flight'
  override readonly pattern = /^limit team (\S+) to (\d+) in flight$/

  override plan (document: ConfigDocument, [name = '', limit]: string[]): IntentResult {
    const team = findTeam(document, name)
    const before = team.maxInFlight
    team.maxInFlight = Number(limit)
    return { document, summary: [`team "${name}": requests in flight at each entry ${before ?? 'unlimited'} to ${limit}`] }
  }
}

/** Adds a team. */
class AddTeam extends Intent {
  override readonly form = 'add team NAME with key digest SHA256'
  override readonly pattern = /^add team (\S+) with key digest ([0-9a-f]{64})$/

  override plan (document: ConfigDocument, [name = '', digest = '']: string[]): IntentResult {
    if (document.teams[name] !== undefined) throw createError(ErrorKind.conflict, `team "${name}" exists already`)
    document.teams[name] = { class: 'paying', weight: 1, keyDigests: [digest] }
    return { document, summary: [`team "${name}": added, class paying, weight 1`] }
  }
}

registerIntent(new MoveTeam())
registerIntent(new SetWeight())
registerIntent(new SetLimit())
registerIntent(new AddTeam())
