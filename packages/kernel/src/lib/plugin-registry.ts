/**
 * A registry in which plug-ins register themselves when their module is loaded.
 */
import { createError, ErrorKind } from './errors.js'

/** Plug-ins of one kind, by name. */
export class PluginRegistry<Factory> {
  private readonly factories = new Map<string, Factory>()

  /** @param kind - kind of the plug-ins, such as `model engine`; used in error messages */
  constructor (private readonly kind: string) {}

  /**
   * @param name - name by which settings refer to the plug-in
   * @param factory - function that creates the plug-in
   * @throws `settings-invalid` if the name is already registered
   */
  register (name: string, factory: Factory): void {
    if (this.factories.has(name)) {
      throw createError(ErrorKind.settingsInvalid, `${this.kind} "${name}" is already registered; load its module only once`)
    }
    this.factories.set(name, factory)
  }

  /**
   * @param name - name of a registered plug-in
   * @returns its factory
   * @throws `settings-invalid` if no plug-in is registered under this name
   */
  get (name: string): Factory {
    const factory = this.factories.get(name)
    if (factory !== undefined) return factory
    const registeredNames = [...this.factories.keys()].join(', ')
    throw createError(ErrorKind.settingsInvalid, `${this.kind} "${name}" is not registered; use one of: ${registeredNames}`)
  }
}
