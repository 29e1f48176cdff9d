/** @type {import('xo').FlatXoConfig} */
const config = [
	{ignores: ['dist/**', 'target/**', 'journal/**', 'node_modules/**', 'docs/**']},
	{
		rules: {
			// Short customary names (req, res, cfg, err) are part of the house style.
			'unicorn/prevent-abbreviations': 'off',
			'unicorn/catch-error-name': ['error', {name: 'err'}],
			// Wire formats and HTTP headers use their own spelling.
			'@typescript-eslint/naming-convention': 'off',
			// JSON documents and charts carry null.
			'@typescript-eslint/no-restricted-types': 'off',
			'unicorn/no-null': 'off',
			'import-x/extensions': 'off',
			'n/file-extension-in-import': 'off',
			'capitalized-comments': 'off',
			'no-await-in-loop': 'off',
			'max-params': ['error', 5],
			'max-lines': ['error', 350],
		},
	},
	{
		files: ['test/**'],
		rules: {
			'@typescript-eslint/no-unused-expressions': 'off',
			'max-lines': 'off',
		},
	},
];

export default config;
