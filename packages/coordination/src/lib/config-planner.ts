/**
 * Plans for changes of the configuration: proposed, shown to the operator, and confirmed by one conditional update.
 *
 * A plan is based on the revision that it was computed from. It can be confirmed unless a later revision has changed a
 * part of the document that the plan also changes. The plan's identity is also the identity of the write, so a
 * confirmation whose answer was lost can be repeated: it is idempotent.
 */
import jsonPatch from 'fast-json-patch'
import type { Operation } from 'fast-json-patch'
import { createError, createIdentifier, ErrorKind, getErrorKind } from '@clementineloft/kernel'
import type { Clock } from '@clementineloft/kernel'
import { createNextSnapshot } from './config-replica.js'
import type { ConfigReplica, ConfigSnapshot } from './config-replica.js'
import type { ObjectStore } from './object-store.js'
import { StoreRecord } from './store-record.js'
import type { RecordState } from './store-record.js'

const maxAttempts = 5
const subjectDepth = 2

/** A change that waits for confirmation. */
export interface Plan {
  id: string
  /** The change as the operator stated it. */
  intent: string
  /** Revision that the plan was computed from. */
  basedOn: number
  /** Effects of the change, the teams affected and the cost; one line each. */
  summary: string[]
  patch: Operation[]
}

/** Validates a new document against the current one; throws an error that gives the reason if it must not take effect. */
export type DocumentCheck<T> = (before: T, after: T) => void

/** @returns path of the part of the document that a patch path belongs to, such as `/teams/bramble` */
const getSubjectPath = (path: string): string => path.split('/').slice(0, subjectDepth + 1).join('/')

/** Proposes plans, stores them and confirms them. */
export class ConfigPlanner<T extends object> {
  constructor (
    private readonly store: ObjectStore,
    private readonly record: StoreRecord<ConfigSnapshot<T>>,
    private readonly replica: ConfigReplica<T>,
    private readonly clock: Clock,
    private readonly checkDocument: DocumentCheck<T>
  ) {}

  /**
   * Computes a plan and stores it.
   *
   * @param intent - the change as the operator stated it
   * @param change - returns the desired document and the summary for the operator
   * @returns the stored plan
   * @throws `conflict` if the desired document fails validation or equals the current one
   */
  async propose (intent: string, change: (document: T) => { document: T, summary: string[] }): Promise<Plan> {
    const { body } = await this.readConfig()
    const { document, summary } = change(structuredClone(body.document))
    this.checkDocument(body.document, document)
    const patch = jsonPatch.compare(body.document, document)
    if (patch.length === 0) throw createError(ErrorKind.conflict, `the plan would not change the configuration: ${intent}`)
    const plan: Plan = { id: createIdentifier(), intent, basedOn: body.revision, summary, patch }
    await this.createPlanRecord(plan.id).write(undefined, plan, createIdentifier())
    return plan
  }

  /**
   * Applies a plan to the configuration. Confirming a plan again is idempotent.
   *
   * @param id - identity of the plan
   * @returns the revision that the plan created
   * @throws `not-found` if there is no such plan; `conflict` that names the earlier change to the same part;
   *   `overloaded` if other changes came first in every attempt; `store-unavailable` with outcome `unknown`, after which
   *   the plan should be confirmed again
   */
  async confirm (id: string): Promise<number> {
    const stored = await this.createPlanRecord(id).read()
    if (stored === undefined) throw createError(ErrorKind.notFound, `plan "${id}" does not exist`)
    const plan = stored.body
    for (let attempt = 0; attempt < maxAttempts; attempt++) {
      const state = await this.readConfig()
      const appliedChange = state.body.changes.find((change) => change.operation === id)
      if (appliedChange !== undefined) return appliedChange.revision
      this.checkNoConflict(plan, state.body)
      const document = jsonPatch.applyPatch(structuredClone(state.body.document), plan.patch).newDocument
      this.checkDocument(state.body.document, document)
      try {
        const written = await this.record.write(state, createNextSnapshot(state.body, document, id), id)
        this.replica.apply({ snapshot: written.body })
        return written.body.revision
      } catch (error) {
        if (getErrorKind(error) !== ErrorKind.conflict) throw error
      }
    }
    throw createError(ErrorKind.overloaded, `plan "${id}" conflicted with concurrent changes in all ${maxAttempts} attempts; confirm it again`)
  }

  private createPlanRecord (id: string): StoreRecord<Plan> {
    return new StoreRecord<Plan>(this.store, `plans/${id}`, this.clock)
  }

  private async readConfig (): Promise<RecordState<ConfigSnapshot<T>>> {
    const state = await this.record.read()
    if (state === undefined) throw createError(ErrorKind.notReady, 'the store contains no configuration yet')
    return state
  }

  private checkNoConflict (plan: Plan, snapshot: ConfigSnapshot<T>): void {
    const laterChanges = snapshot.changes.filter((change) => change.revision > plan.basedOn)
    if (laterChanges.length < snapshot.revision - plan.basedOn) {
      throw createError(ErrorKind.conflict, `plan "${plan.id}" is too old: changes since its base revision are no longer retained; plan "${plan.intent}" again`)
    }
    const subjects = new Set(plan.patch.map((operation) => getSubjectPath(operation.path)))
    for (const change of laterChanges) {
      const overlap = change.patch.map((operation) => getSubjectPath(operation.path)).find((subject) => subjects.has(subject))
      if (overlap === undefined) continue
      throw createError(ErrorKind.conflict, `"${overlap}" was changed by plan "${change.operation}" in revision ${change.revision}; plan "${plan.intent}" again`)
    }
  }
}
