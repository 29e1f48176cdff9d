'use strict';

const Mocha = require('mocha');

/** Prints the usual spec report and ends with one line `N passed, N failed`. */
module.exports = class SummaryReporter extends Mocha.reporters.Spec {
	epilogue() {
		super.epilogue();
		console.log(`${this.stats.passes} passed, ${this.stats.failures} failed`);
	}
};
