// Lint rules: typescript-eslint strict and stylistic, and the direction of imports between packages.
import { defineConfig } from 'eslint/config';
import tseslint from 'typescript-eslint';

/** Packages that each package may import; see docs/ARCHITECTURE.md. */
const allowedImports = {
  domain: [],
  protocol: [],
  ports: ['domain'],
  daemon: ['domain', 'protocol', 'ports'],
  cli: ['domain', 'protocol'],
  'stand-ins': ['domain', 'ports'],
  bench: ['domain', 'protocol', 'ports', 'daemon', 'cli', 'stand-ins'],
  platform: ['domain', 'ports', 'daemon'],
};

/** Folder of a package. */
function folderOf(name) {
  return name === 'platform' ? 'platform' : `packages/${name}`;
}

const packageNames = Object.keys(allowedImports);

/** Node modules that do I/O, which the domain must not import. */
const ioModules = ['node:*', 'undici', 'pino', 'prom-client'];

function importRules(name, extra = []) {
  const allowed = [name, ...allowedImports[name], ...extra];
  const denied = packageNames.filter(other => !allowed.includes(other));
  const patterns = denied.map(other => ({
    group: [`@paddlewind/${other}`, `@paddlewind/${other}/*`],
    message: `${name} must not import ${other}`,
  }));
  return patterns;
}

function restrictImports(files, patterns) {
  return {
    files,
    rules: { 'no-restricted-imports': ['error', { patterns }] },
  };
}

export default defineConfig(
  {
    ignores: [
      '**/dist/**',
      'target/**',
      'journal/**',
      '**/node_modules/**',
      'packages/protocol/src/gen/**',
    ],
  },
  {
    files: ['packages/*/src/**/*.ts', 'platform/src/**/*.ts'],
    extends: [
      tseslint.configs.strictTypeChecked,
      tseslint.configs.stylisticTypeChecked,
    ],
    languageOptions: {
      parserOptions: {
        projectService: true,
        tsconfigRootDir: import.meta.dirname,
      },
    },
    rules: {
      '@typescript-eslint/restrict-template-expressions': [
        'error',
        { allowNumber: true },
      ],
      '@typescript-eslint/no-floating-promises': [
        'error',
        {
          allowForKnownSafeCalls: [
            {
              from: 'package',
              name: ['test', 'it', 'describe'],
              package: 'node:test',
            },
          ],
        },
      ],
      '@typescript-eslint/switch-exhaustiveness-check': 'error',
      'max-lines': [
        'error',
        { max: 400, skipBlankLines: true, skipComments: true },
      ],
      'max-lines-per-function': [
        'error',
        { max: 80, skipBlankLines: true, skipComments: true },
      ],
    },
  },
  {
    files: ['packages/*/src/**/*.test.ts', 'platform/src/**/*.test.ts'],
    rules: { 'max-lines': 'off', 'max-lines-per-function': 'off' },
  },
  ...packageNames.map(name =>
    restrictImports([`${folderOf(name)}/src/**/*.ts`], importRules(name)),
  ),
  restrictImports(
    ['packages/domain/src/**/*.ts'],
    [
      ...importRules('domain'),
      { group: ioModules, message: 'domain is pure: no I/O' },
    ],
  ),
  restrictImports(['packages/domain/src/**/*.test.ts'], importRules('domain')),
  restrictImports(
    ['packages/daemon/src/**/*.test.ts'],
    importRules('daemon', ['stand-ins']),
  ),
  restrictImports(
    ['platform/src/**/*.test.ts'],
    importRules('platform', ['stand-ins']),
  ),
  restrictImports(
    ['packages/cli/src/**/*.test.ts'],
    importRules('cli', ['stand-ins', 'daemon']),
  ),
);
